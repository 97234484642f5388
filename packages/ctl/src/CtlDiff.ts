/** Maximum number of lines of a text to diff; the comparison table grows with the square of it. */
const MAX_DIFF_LINES = 4_000;

/**
 * Compares two texts line by line.
 *
 * @param before - the first text
 * @param after - the second text
 * @returns removed lines with `- `, added lines with `+ `, in order; empty when they are equal
 */
export function diffLines(before: string, after: string): readonly string[] {
  const removed = splitLines(before);
  const added = splitLines(after);
  if (removed.length > MAX_DIFF_LINES || added.length > MAX_DIFF_LINES) {
    return [...removed.map((line) => `- ${line}`), ...added.map((line) => `+ ${line}`)];
  }
  const lcsLength = lcsLengths(removed, added);
  const changes: string[] = [];
  let removedIndex = 0;
  let addedIndex = 0;
  while (removedIndex < removed.length || addedIndex < added.length) {
    if (
      removedIndex < removed.length &&
      addedIndex < added.length &&
      removed[removedIndex] === added[addedIndex]
    ) {
      removedIndex += 1;
      addedIndex += 1;
    } else if (
      addedIndex >= added.length ||
      (removedIndex < removed.length &&
        lcsLength(removedIndex + 1, addedIndex) >= lcsLength(removedIndex, addedIndex + 1))
    ) {
      changes.push(`- ${removed[removedIndex] ?? ''}`);
      removedIndex += 1;
    } else {
      changes.push(`+ ${added[addedIndex] ?? ''}`);
      addedIndex += 1;
    }
  }
  return changes;
}

function splitLines(text: string): readonly string[] {
  return text === '' ? [] : text.replace(/\n$/, '').split('\n');
}

/** Returns the length of the longest common subsequence of the lines from two indexes on. */
function lcsLengths(
  removed: readonly string[],
  added: readonly string[],
): (removedIndex: number, addedIndex: number) => number {
  const width = added.length + 1;
  const lengths = new Uint16Array((removed.length + 1) * width);
  const lengthAt = (removedIndex: number, addedIndex: number): number =>
    lengths[removedIndex * width + addedIndex] ?? 0;
  for (let removedIndex = removed.length - 1; removedIndex >= 0; removedIndex -= 1) {
    for (let addedIndex = added.length - 1; addedIndex >= 0; addedIndex -= 1) {
      lengths[removedIndex * width + addedIndex] =
        removed[removedIndex] === added[addedIndex]
          ? lengthAt(removedIndex + 1, addedIndex + 1) + 1
          : Math.max(
              lengthAt(removedIndex + 1, addedIndex),
              lengthAt(removedIndex, addedIndex + 1),
            );
    }
  }
  return lengthAt;
}
