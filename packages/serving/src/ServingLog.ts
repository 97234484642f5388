/** Value of a log field. */
export type ServingLogValue = boolean | number | string | undefined;

/** Structured log; each entry has an event name and key=value fields. */
export interface ServingLog {
  info(event: string, fields?: Readonly<Record<string, ServingLogValue>>): void;
  warn(event: string, fields?: Readonly<Record<string, ServingLogValue>>): void;
}
