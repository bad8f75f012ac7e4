// Guards against a stream that its client takes up and that goes on at a software version nobody knows to be its own.
import { expect } from 'chai';
import { noopJournal, type Route, type RequestFacts, type StreamOrigins } from '../src/index.js';
import { StreamTakeUps, streamIdOf } from '../src/stream-take-ups.js';

const ROUTE: Route = {
  name: 'drafts',
  host: 'service.example',
  pathPrefix: '/drafts/',
  kind: 'resumable_stream',
  timeoutMs: 5000,
  targetLatencyMs: 400,
  maximumAttempts: 2,
  priority: 1,
  isPublic: true,
  targets: [
    { service: 'models-a', weight: 1 },
    { service: 'models-b', weight: 1 },
  ],
};
const FACTS: RequestFacts = {
  id: 'r2',
  hasTokenCounts: false,
  promptTokens: 0,
  outputTokens: 0,
  promptParts: [],
  resumeAfter: '3',
  resumes: 'r1',
};

/** Origins that know nothing, except for what a test sets. */
function origins(known: Partial<StreamOrigins> = {}): StreamOrigins {
  return {
    record: () => undefined,
    find: () => Promise.resolve({ kind: 'unknown', asked: 2, answered: 2 }),
    hasNoVersions: () => false,
    onlyVersion: () => undefined,
    onlyVersionRecorded: () => Promise.resolve(undefined),
    findRecorded: () => Promise.resolve(undefined),
    ...known,
  };
}

function resolve(
  known: Partial<StreamOrigins> | undefined,
  facts: RequestFacts = FACTS,
  route: Route = ROUTE,
): ReturnType<StreamTakeUps['resolve']> {
  const takeUps = new StreamTakeUps(known === undefined ? undefined : origins(known), noopJournal);
  return takeUps.resolve(route, facts, () => 'models-a');
}

const REFUSED = { kind: 'refused', cause: 'stream_origin_unknown' };

describe('a stream that its client takes up', () => {
  it('goes on at the service and version that began it', async () => {
    const origin = { service: 'models-b', softwareVersion: 'v2' };
    const takeUp = await resolve({ find: () => Promise.resolve({ kind: 'known', origin, source: 'peer' }) });
    expect(takeUp).to.deep.equal({ kind: 'bound', ...origin });
  });

  it('goes on at the service that the route leads to now if it no longer leads to the first, at the same version', async () => {
    const origin = { service: 'models-gone', softwareVersion: 'v2' };
    const takeUp = await resolve({ find: () => Promise.resolve({ kind: 'known', origin, source: 'own' }) });
    expect(takeUp).to.deep.equal({ kind: 'bound', service: 'models-a', softwareVersion: 'v2' });
  });

  it('is refused when nobody knows where it began, whatever versions serve now', async () => {
    expect(await resolve({})).to.include(REFUSED);
  });

  it('goes on at the only version, or at the origin, that the store has recorded', async () => {
    const onlyVersionRecorded = (): Promise<string> => Promise.resolve('v1');
    expect(await resolve({ onlyVersionRecorded })).to.deep.equal({
      kind: 'bound',
      service: 'models-a',
      softwareVersion: 'v1',
    });
    const origin = { service: 'models-b', softwareVersion: 'v2' };
    expect(await resolve({ findRecorded: () => Promise.resolve(origin) })).to.deep.equal({
      kind: 'bound',
      ...origin,
    });
  });

  it('goes on at the only version that the service has had while the stream may have lasted', async () => {
    const periods: number[] = [];
    const takeUp = await resolve({
      onlyVersion: (_, withinMs) => {
        periods.push(withinMs);
        return 'v1';
      },
    });
    expect(takeUp).to.deep.equal({ kind: 'bound', service: 'models-a', softwareVersion: 'v1' });
    expect(periods).to.deep.equal([30_000]);
  });

  it('is refused at a daemon that no other one answers, even if it has seen one version', async () => {
    const takeUp = await resolve({
      find: () => Promise.resolve({ kind: 'unknown', asked: 2, answered: 0 }),
      onlyVersion: () => 'v1',
    });
    expect(takeUp).to.include(REFUSED);
  });

  it('is refused for a client that names no attempt, unless it can have begun at one version only', async () => {
    const { resumes, ...unnamed } = FACTS;
    expect(resumes).to.equal('r1');
    expect(await resolve({}, unnamed)).to.include(REFUSED);
    expect(await resolve({ onlyVersion: () => 'v1' }, unnamed)).to.include({ softwareVersion: 'v1' });
    const onlyVersionRecorded = (): Promise<string> => Promise.resolve('v1');
    expect(await resolve({ onlyVersionRecorded }, unnamed)).to.include({ softwareVersion: 'v1' });
  });

  it('is remembered under the attempt that brought its first event', () => {
    expect(streamIdOf(FACTS)).to.equal('r1');
    const { resumeAfter, ...begun } = FACTS;
    expect(resumeAfter).to.equal('3');
    expect(streamIdOf(begun)).to.equal('r2');
  });

  it('is not bound where workers name no version, on other routes, and before its first event', async () => {
    expect(await resolve({ hasNoVersions: () => true })).to.include({ kind: 'unbound' });
    expect(await resolve(undefined)).to.deep.equal({ kind: 'unbound' });
    expect(await resolve({}, FACTS, { ...ROUTE, kind: 'stream' })).to.deep.equal({ kind: 'unbound' });
    const { resumeAfter, ...first } = FACTS;
    expect(resumeAfter).to.equal('3');
    expect(await resolve({}, first)).to.deep.equal({ kind: 'unbound' });
  });
});
