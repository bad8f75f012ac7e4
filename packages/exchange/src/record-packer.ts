/**
 * Records as they stand in messages. A large record is compressed once, however many daemons it is sent to: a
 * configuration of some hundred routes is a hundred kilobytes, a tenth of that packed, and is sent to every daemon.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import type { RecordEntry, RecordUpdate, SentRecord, SentUpdate } from '@woodbarrow/protocol';

/** Records whose text is shorter than this are sent as they are, in characters: packing them saves too little. */
const MIN_PACKED_LENGTH = 2048;
/** A packed record that would be larger than this is refused, in bytes. */
const MAX_UNPACKED_BYTES = 16 * 1024 * 1024;

/** Packs records, each once. */
export class RecordPacker {
  private readonly packed = new WeakMap<RecordEntry, SentRecord>();

  pack({ records, ...update }: RecordUpdate): SentUpdate {
    return { ...update, records: records.map((record) => this.packRecord(record)) };
  }

  private packRecord(record: RecordEntry): SentRecord {
    let sent = this.packed.get(record);
    if (sent === undefined) {
      sent = toSentRecord(record);
      this.packed.set(record, sent);
    }
    return sent;
  }
}

/** Unpacks what was sent. @throws RangeError for a record that is too large, Error for one that is not well formed. */
export function unpack({ records, ...update }: SentUpdate): RecordUpdate {
  return { ...update, records: records.map(fromSentRecord) };
}

function toSentRecord(record: RecordEntry): SentRecord {
  const text = JSON.stringify(record.value);
  if (text.length < MIN_PACKED_LENGTH) return record;
  const { name, revision } = record;
  return { name, revision, packed: deflateRawSync(text) };
}

function fromSentRecord({ name, revision, value, packed }: SentRecord): RecordEntry {
  if (packed === undefined) return { name, revision, value };
  const bytes = inflateRawSync(packed, { maxOutputLength: MAX_UNPACKED_BYTES });
  return { name, revision, value: JSON.parse(bytes.toString()) as unknown };
}
