import { expect } from 'chai';
import { SuspensionMeter, SystemClock } from '../src/index.js';

describe('SuspensionMeter', () => {
  let monotonicMs: number;
  let wallMs: number;
  let meter: SuspensionMeter;

  beforeEach(() => {
    monotonicMs = 10;
    wallMs = 5000;
    meter = new SuspensionMeter(
      () => monotonicMs,
      () => wallMs,
    );
  });

  function advance(monotonicByMs: number, wallByMs: number): number {
    monotonicMs += monotonicByMs;
    wallMs += wallByMs;
    return meter.elapsed();
  }

  it('counts the time missed by the monotonic clock once', () => {
    expect(advance(1000, 1000)).to.equal(1010);
    expect(advance(5, 4005)).to.equal(5015);
    expect(advance(1000, 1000)).to.equal(6015);
  });

  it('counts a wall clock set forward as a suspension, and never decreases when it is set back', () => {
    expect(advance(100, 2100)).to.equal(2110);
    expect(advance(100, -1900)).to.equal(2210);
    expect(advance(100, 3100)).to.equal(5310);
  });

  it('ignores gradual corrections of the wall clock', () => {
    for (let second = 0; second < 1000; second += 1) advance(1000, 1000.5);
    expect(meter.elapsed()).to.equal(1_000_010);
  });

  it('follows the monotonic clock when the machine is not suspended', () => {
    const clock = new SystemClock();
    expect(Math.abs(clock.elapsed() - clock.monotonic())).to.be.lessThan(50);
  });
});
