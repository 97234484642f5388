import type { PlatformStore, Result } from '@laburnumgap/kernel';
import type { RpcClients } from '@laburnumgap/rpc';
import type { CtlError } from './CtlError.js';
import type { CtlSettings } from './CtlSettings.js';

/** What the tool meets the outside through. */
export interface CtlEnvironment {
  connectClients(settings: CtlSettings): RpcClients;
  connectStore(settings: CtlSettings): PlatformStore;
  newId(): string;
  nowEpochMs(): number;
  readStdin(): Promise<string>;
  readText(file: string): Promise<string>;
  wait(durationMs: number): Promise<void>;
  writeError(line: string): void;
  writeLine(line: string): void;
}

/** What a command works with. */
export interface CtlContext {
  readonly clients: RpcClients;
  readonly environment: CtlEnvironment;
  readonly settings: CtlSettings;
  readonly store: PlatformStore;
}

/** What a command prints: the same facts as text and as JSON. */
export interface CtlAnswer {
  /** Whether the command counts as failed although it has an answer. */
  readonly hasFailed?: boolean;
  readonly json: unknown;
  readonly lines: readonly string[];
}

/** Outcome of a command. */
export type CtlOutcome = Result<CtlAnswer, CtlError>;
