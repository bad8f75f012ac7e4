/** Standard output of the lab's commands. */

/** Writes text to standard output, followed by a newline. */
export function print(text: string): void {
  process.stdout.write(`${text}\n`);
}
