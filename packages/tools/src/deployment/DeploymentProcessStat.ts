import { readFile } from 'node:fs/promises';

/** CPU time and resident memory of a process. */
export interface ProcessStat {
  readonly cpuSeconds: number;
  readonly residentBytes: number;
}

const CLOCK_TICKS_PER_SECOND = 100;
const PAGE_BYTES = 4_096;
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;
const RESIDENT_PAGES_FIELD = 21;

/**
 * Reads CPU time and resident memory of a process from `/proc`.
 *
 * @param pid - its process id
 * @returns CPU time since its start and current resident memory
 */
export async function readProcessStat(pid: number): Promise<ProcessStat> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  return {
    cpuSeconds: ticks / CLOCK_TICKS_PER_SECOND,
    residentBytes: Number(fields[RESIDENT_PAGES_FIELD]) * PAGE_BYTES,
  };
}
