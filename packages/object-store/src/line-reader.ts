/** Splits a byte stream into lines. */

/** Lines of a stream, without their ends; a last line without an end is left out. */
export async function* readLines(body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let rest = '';
  for await (const chunk of body) {
    rest += decoder.decode(chunk, { stream: true });
    let end = rest.indexOf('\n');
    while (end >= 0) {
      yield rest.slice(0, end);
      rest = rest.slice(end + 1);
      end = rest.indexOf('\n');
    }
  }
}
