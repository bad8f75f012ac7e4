/** Splits a byte stream into lines. */

/** Yields the lines of a stream without their line feeds; an unterminated last line is dropped. */
export async function* readLines(body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let buffered = '';
  for await (const chunk of body) {
    buffered += decoder.decode(chunk, { stream: true });
    let end = buffered.indexOf('\n');
    while (end >= 0) {
      yield buffered.slice(0, end);
      buffered = buffered.slice(end + 1);
      end = buffered.indexOf('\n');
    }
  }
}
