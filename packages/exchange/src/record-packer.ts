/**
 * Encodes records for messages. A large record is compressed only once, although it is sent to every daemon:
 * a configuration of some hundred routes has about a hundred kilobytes, and a tenth of that compressed.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import type { RecordEntry, RecordUpdate, SentRecord, SentUpdate } from '@woodbarrow/protocol';

/** Minimum length in characters of a record's JSON text for compression; shorter records gain too little. */
const MIN_PACKED_LENGTH = 2048;
/** Maximum size of a decompressed record in bytes; larger ones are refused. */
const MAX_UNPACKED_BYTES = 16 * 1024 * 1024;

/** Packs records for messages, and caches the packed form of each record. */
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

/**
 * Unpacks an update.
 *
 * @throws RangeError for a record that is too large, Error for a malformed one.
 */
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
