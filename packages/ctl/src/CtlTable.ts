import Table from 'cli-table3';

const NO_BORDERS = {
  bottom: '',
  'bottom-left': '',
  'bottom-mid': '',
  'bottom-right': '',
  left: '',
  'left-mid': '',
  mid: '',
  'mid-mid': '',
  middle: '  ',
  right: '',
  'right-mid': '',
  top: '',
  'top-left': '',
  'top-mid': '',
  'top-right': '',
};

/**
 * Formats rows as a table without borders.
 *
 * @param head - column titles
 * @param rows - the rows
 * @returns the lines of the table
 */
export function formatTable(
  head: readonly string[],
  rows: readonly (readonly string[])[],
): readonly string[] {
  const table = new Table({
    chars: NO_BORDERS,
    style: { border: [], compact: true, head: [], 'padding-left': 0, 'padding-right': 0 },
  });
  table.push([...head], ...rows.map((row) => [...row]));
  return table
    .toString()
    .split('\n')
    .map((line) => line.trimEnd());
}
