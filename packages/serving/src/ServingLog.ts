/** Value of a log field. */
export type ServingLogValue = boolean | number | string | undefined;

/** Writes one line for each decision. */
export interface ServingLog {
  info(event: string, fields?: Readonly<Record<string, ServingLogValue>>): void;
  warn(event: string, fields?: Readonly<Record<string, ServingLogValue>>): void;
}
