import { expect } from 'chai';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { diffLines } from '../src/diff-lines.js';
import { formatTable } from '../src/table.js';

const COMMAND = fileURLToPath(new URL('../../bin/woodbarrow.js', import.meta.url));

function run(...args: string[]): { code: number | null; out: string; err: string } {
  const { status, stdout, stderr } = spawnSync(process.execPath, [COMMAND, ...args], { encoding: 'utf8' });
  return { code: status, out: stdout, err: stderr };
}

describe('woodbarrow command', () => {
  it('reports every problem in invalid settings and exits with code 2', () => {
    const file = join(mkdtempSync(join(tmpdir(), 'woodbarrow-')), 'bad.yaml');
    writeFileSync(file, 'deployment: d\nid: "Bad Id"\nzone: z\n');
    const { code, err } = run('settings', 'check', '--settings', file);
    expect(code).to.equal(2);
    expect(err)
      .to.match(/bad\.yaml:2: id:/)
      .and.to.match(/listen/)
      .and.to.match(/platform/);
  });

  it('exits with code 4 when the daemon is unreachable, and with 2 on wrong arguments', () => {
    expect(run('template', 'list', '--server', 'http://127.0.0.1:1', '--token', 'x').code).to.equal(4);
    expect(run('template').code).to.equal(2);
    expect(run('nonsense').code).to.equal(2);
  });

  it('prints the SHA-256 digest of a token', () => {
    expect(run('token-hash', 'secret').out.trim()).to.match(/^[0-9a-f]{64}$/);
  });
});

describe('formatTable and diffLines', () => {
  it('pad cells to align columns', () => {
    expect(formatTable(['A', 'LONG'], [['value', 'x']])).to.equal('A      LONG\nvalue  x');
  });

  it('return removed and added lines only', () => {
    expect(diffLines(['a', 'b', 'c'], ['a', 'x', 'c', 'd'])).to.deep.equal(['- b', '+ x', '+ d']);
    expect(diffLines(['a'], ['a'])).to.deep.equal([]);
  });
});
