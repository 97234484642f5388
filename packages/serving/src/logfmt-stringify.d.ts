declare module 'logfmt/lib/stringify.js' {
  /** Formats fields as one line of key=value pairs. */
  export function stringify(fields: Readonly<Record<string, boolean | number | string>>): string;
}
