// Guards against a stream whose event never ends, or comes in tiny pieces, and holds the event loop and the memory of a daemon.
import { expect } from 'chai';
import { EventSplitter, MAX_EVENT_BYTES } from '../src/index.js';

const PIECE = Buffer.from('a');

describe('EventSplitter', () => {
  it('reports an event beyond its limit, and comments beyond it', () => {
    for (const first of ['data: ', ': ']) {
      const splitter = new EventSplitter();
      splitter.push(Buffer.from(first));
      splitter.push(Buffer.alloc(MAX_EVENT_BYTES - first.length, 'a'));
      expect(splitter.isOverlong).to.equal(false);
      expect(splitter.push(PIECE)).to.deep.equal([]);
      expect(splitter.isOverlong).to.equal(true);
    }
  });

  it('is within the limit again after a long event has ended', () => {
    const splitter = new EventSplitter();
    splitter.push(Buffer.concat([Buffer.from('data: '), Buffer.alloc(MAX_EVENT_BYTES, 'a')]));
    const [event] = splitter.push(Buffer.from('\n\nid: 1\n'));
    expect(event?.bytes.byteLength).to.equal(MAX_EVENT_BYTES + 8);
    expect(splitter.isOverlong).to.equal(false);
    expect(splitter.incompleteEventBytes).to.equal(6);
  });

  it('finds the same blocks however the body is cut', () => {
    const body = Buffer.from(': hello\n\nid: 1\r\ndata: x\r\n\r\n\n\ndata: y\nid: 2\n\n: end\nid: 3\ndata');
    const whole = new EventSplitter();
    const expected = whole.push(body).map(({ bytes, id, isEvent }) => [bytes.toString(), id, isEvent]);
    for (let size = 1; size < body.byteLength; size += 1) {
      const splitter = new EventSplitter();
      const found: unknown[] = [];
      for (let start = 0; start < body.byteLength; start += size) {
        const events = splitter.push(body.subarray(start, start + size));
        found.push(...events.map(({ bytes, id, isEvent }) => [bytes.toString(), id, isEvent]));
      }
      expect(found, `pieces of ${String(size)}`).to.deep.equal(expected);
      expect(splitter.incompleteEventBytes).to.equal(whole.incompleteEventBytes);
    }
  });

  it('takes time in proportion to the bytes for an event in single bytes', function () {
    this.timeout(10_000);
    const splitter = new EventSplitter();
    for (let index = 0; index < MAX_EVENT_BYTES; index += 1) splitter.push(PIECE);
    expect(splitter.push(Buffer.from('\n\n')).length).to.equal(1);
  });
});
