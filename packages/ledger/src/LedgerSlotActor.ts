import type {
  ClaimSettings,
  ClaimSlotAction,
  ClaimTime,
  SlotOperation,
  SlotReply,
  StoredJournal,
} from '@laburnumgap/claims';
import { CLAIM_LAYOUT_KEY, ClaimSlot, claimHeadKey, claimSlotPrefix } from '@laburnumgap/claims';
import type { Actor, ActorSystem } from '@laburnumgap/daemon';
import type {
  MonotonicClock,
  PlatformStore,
  RandomSource,
  Result,
  Revision,
  SlotNumber,
  StoreError,
  StoredValue,
  WallClock,
} from '@laburnumgap/kernel';
import type { Log } from '@laburnumgap/telemetry';

/** Called once with the reply to an operation. */
export type SlotReplyListener = (reply: SlotReply) => void;

/** Options of {@link startLedgerSlotActor}. */
export interface LedgerSlotActorOptions {
  readonly actors: ActorSystem;
  readonly clock: MonotonicClock;
  readonly log: Log;
  readonly random: RandomSource;
  readonly settings: ClaimSettings;
  readonly slot: SlotNumber;
  readonly store: PlatformStore;
  readonly wallClock: WallClock;
  /** Unique for each start of a ledger process. */
  readonly writer: string;
}

/** Actor that owns the state machine of one slot and performs its store calls. */
export interface LedgerSlotActor {
  /** Number of operations that wait for a reply. */
  queuedOperations(): number;
  stop(): void;
  submit(operation: SlotOperation, listener: SlotReplyListener): void;
}

type SlotMessage =
  | {
      readonly kind: 'committed';
      readonly result: Result<Revision, StoreError>;
    }
  | { readonly kind: 'headRead'; readonly result: Result<StoredValue | undefined, StoreError> }
  | { readonly kind: 'loaded'; readonly result: Result<StoredJournal, StoreError> }
  | {
      readonly kind: 'submit';
      readonly listener: SlotReplyListener;
      readonly operation: SlotOperation;
    }
  | { readonly kind: 'wake' };

/**
 * Starts the actor of a slot.
 *
 * @param options - the slot, the store, clocks and settings
 * @returns the actor
 */
export function startLedgerSlotActor(options: LedgerSlotActorOptions): LedgerSlotActor {
  const { actors, clock, log, slot, store, wallClock } = options;
  const claimSlot = new ClaimSlot(options);
  const listeners = new Map<SlotOperation, SlotReplyListener>();
  let timer: NodeJS.Timeout | undefined;

  const currentTime = (): ClaimTime => ({
    epochMs: wallClock.nowEpochMs(),
    monotonicMs: clock.nowMs(),
  });
  const onMessage = (message: SlotMessage): void => {
    const now = currentTime();
    if (message.kind === 'submit') {
      listeners.set(message.operation, message.listener);
    }
    for (const action of handleMessage(claimSlot, message, now)) {
      performAction(action);
    }
    scheduleWake(now);
  };
  const scheduleWake = (now: ClaimTime): void => {
    clearTimeout(timer);
    const { wakeAtMs } = claimSlot;
    if (wakeAtMs === undefined) {
      return;
    }
    const delayMs = Math.max(1, Math.ceil(wakeAtMs - now.monotonicMs));
    timer = setTimeout(() => {
      actor.send({ kind: 'wake' });
    }, delayMs);
  };
  const performAction = (action: ClaimSlotAction): void => {
    switch (action.kind) {
      case 'commit':
        void store.commit(action.commit).then((result) => {
          actor.send({ kind: 'committed', result });
        });
        return;
      case 'load':
        void readJournal(store, slot).then((result) => {
          actor.send({ kind: 'loaded', result });
        });
        return;
      case 'readHead':
        void store.read(claimHeadKey(slot)).then((result) => {
          actor.send({ kind: 'headRead', result });
        });
        return;
      case 'reply':
        listeners.get(action.operation)?.(action.reply);
        listeners.delete(action.operation);
        return;
      case 'warn':
        log.error(action.event, { detail: action.detail, slot });
    }
  };
  const actor: Actor<SlotMessage> = actors.spawn<SlotMessage>(`slot-${slot}`, onMessage);
  return {
    queuedOperations: () => claimSlot.queuedOperations,
    stop: () => {
      clearTimeout(timer);
      actor.stop();
    },
    submit: (operation, listener) => {
      actor.send({ kind: 'submit', listener, operation });
    },
  };
}

function handleMessage(
  claimSlot: ClaimSlot,
  message: SlotMessage,
  now: ClaimTime,
): readonly ClaimSlotAction[] {
  switch (message.kind) {
    case 'committed':
      return claimSlot.onCommitted(message.result, now);
    case 'headRead':
      return claimSlot.onHeadRead(message.result, now);
    case 'loaded':
      return claimSlot.onLoaded(message.result, now);
    case 'submit':
      return claimSlot.submit(message.operation, now);
    case 'wake':
      return claimSlot.wake(now);
  }
}

/**
 * Reads a journal; the layout first, so that a later change to it fails the next commit's guard.
 */
async function readJournal(
  store: PlatformStore,
  slot: SlotNumber,
): Promise<Result<StoredJournal, StoreError>> {
  const layout = await store.read(CLAIM_LAYOUT_KEY);
  if (!layout.ok) {
    return layout;
  }
  const range = await store.range(claimSlotPrefix(slot));
  if (!range.ok) {
    return range;
  }
  return { ok: true, value: { layout: layout.value, slot: range.value } };
}
