// Plays days of our own on a site of the users' bench and prints a table. Needs the bench; not part of CI.
//   node scripts/play-days.js BENCH SITE "WHY" [NAME...]
// Traffic and marks are those of the site's first quiet day; troubles are those of deploy/days/days.json.
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { basename, join } from 'node:path';

const AT_ONCE = 3;
const [bench, site, why, ...names] = process.argv.slice(2);
if (bench === undefined || site === undefined || why === undefined) {
  console.error('usage: node scripts/play-days.js BENCH SITE "WHY" [NAME...]');
  process.exit(2);
}

const all = JSON.parse(readFileSync(new URL('../deploy/days/days.json', import.meta.url), 'utf8'));
const wanted = names.length === 0 ? all : all.filter((day) => names.includes(day.name));
const pattern = readFileSync(site, 'utf8').match(
  /\[\[day\]\]\n[\s\S]*?slot = "quiet"[\s\S]*?(?=\n\[\[day\]\]|$)/,
)?.[0];
const folder = mkdtempSync(join(tmpdir(), 'days-'));

/** The quiet day with other troubles. */
function dayText({ name, plan, faults }) {
  const list = (entries) => `[\n${entries.map((entry) => `  ${entry},`).join('\n')}\n]`;
  return pattern
    .replace(/^name = .*$/m, `name = "${name}"`)
    .replace(/^plan = \[[\s\S]*?^\]/m, `plan = ${list(plan)}`)
    .replace(/^faults = \[[\s\S]*?^\]/m, `faults = ${list(faults)}`);
}

/** Plays one day; resolves with its line of the report and the rules broken. */
function play(day) {
  const file = join(folder, `${day.name}.toml`);
  writeFileSync(file, dayText(day));
  const child = spawn(bench, ['run', site, file, '--why', `${why}: ${day.name}`]);
  let text = '';
  child.stdout.on('data', (chunk) => (text += chunk));
  child.stderr.on('data', (chunk) => (text += chunk));
  return new Promise((resolve) => {
    child.on('close', () => {
      const line =
        text.split('\n').find((each) => each.startsWith(day.name)) ?? text.trim().split('\n').pop();
      const broken = text.split('\n').filter((each) => /^[A-Z]+ at /.test(each));
      resolve([line, ...broken.slice(0, 3)].join('\n    '));
    });
  });
}

console.log(`${wanted.length} days on ${basename(site)}`);
const queue = [...wanted];
await Promise.all(
  Array.from({ length: AT_ONCE }, async () => {
    for (let day = queue.shift(); day !== undefined; day = queue.shift()) console.log(await play(day));
  }),
);
rmSync(folder, { recursive: true });
