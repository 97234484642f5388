import type { PlatformStore, Result } from '@laburnumgap/kernel';
import type { RpcClients } from '@laburnumgap/rpc';
import type { CtlError } from './CtlError.js';
import type { CtlSettings } from './CtlSettings.js';

/** External dependencies of the tool: daemons, store, files, clock and output. */
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

/** Dependencies of a command. */
export interface CtlContext {
  readonly clients: RpcClients;
  readonly environment: CtlEnvironment;
  readonly settings: CtlSettings;
  readonly store: PlatformStore;
}

/** Output of a command: the same data as text lines and as JSON. */
export interface CtlOutput {
  /** Whether the command exits with a failure code although it has output. */
  readonly hasFailed?: boolean;
  readonly json: unknown;
  readonly lines: readonly string[];
}

/** Result of a command. */
export type CtlOutcome = Result<CtlOutput, CtlError>;
