/** Lines of one text that a table of common lengths is made for. */
const MAX_LINES = 4_000;

/**
 * Compares two texts by lines.
 *
 * @param before - the first text
 * @param after - the second text
 * @returns removed lines with `- `, added lines with `+ `, in order; empty when they are equal
 */
export function diffLines(before: string, after: string): readonly string[] {
  const removed = linesOf(before);
  const added = linesOf(after);
  if (removed.length > MAX_LINES || added.length > MAX_LINES) {
    return [...removed.map((line) => `- ${line}`), ...added.map((line) => `+ ${line}`)];
  }
  const common = commonLengths(removed, added);
  const changes: string[] = [];
  let from = 0;
  let to = 0;
  while (from < removed.length || to < added.length) {
    if (from < removed.length && to < added.length && removed[from] === added[to]) {
      from += 1;
      to += 1;
    } else if (
      to >= added.length ||
      (from < removed.length && common(from + 1, to) >= common(from, to + 1))
    ) {
      changes.push(`- ${removed[from] ?? ''}`);
      from += 1;
    } else {
      changes.push(`+ ${added[to] ?? ''}`);
      to += 1;
    }
  }
  return changes;
}

function linesOf(text: string): readonly string[] {
  return text === '' ? [] : text.replace(/\n$/, '').split('\n');
}

/** Length of the longest common subsequence of the lines from two places on. */
function commonLengths(
  removed: readonly string[],
  added: readonly string[],
): (from: number, to: number) => number {
  const width = added.length + 1;
  const lengths = new Uint16Array((removed.length + 1) * width);
  const at = (from: number, to: number): number => lengths[from * width + to] ?? 0;
  for (let from = removed.length - 1; from >= 0; from -= 1) {
    for (let to = added.length - 1; to >= 0; to -= 1) {
      lengths[from * width + to] =
        removed[from] === added[to]
          ? at(from + 1, to + 1) + 1
          : Math.max(at(from + 1, to), at(from, to + 1));
    }
  }
  return at;
}
