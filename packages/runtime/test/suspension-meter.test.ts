import { expect } from 'chai';
import { SuspensionMeter, SystemClock } from '../src/index.js';

describe('SuspensionMeter', () => {
  let steadyMs: number;
  let wallMs: number;
  let meter: SuspensionMeter;

  beforeEach(() => {
    steadyMs = 10;
    wallMs = 5000;
    meter = new SuspensionMeter(
      () => steadyMs,
      () => wallMs,
    );
  });

  function pass(steady: number, wall: number): number {
    steadyMs += steady;
    wallMs += wall;
    return meter.elapsed();
  }

  it('counts the time missed by the monotonic clock once', () => {
    expect(pass(1000, 1000)).to.equal(1010);
    expect(pass(5, 4005)).to.equal(5015);
    expect(pass(1000, 1000)).to.equal(6015);
  });

  it('counts a wall clock set forward as a suspension, and never decreases when it is set back', () => {
    expect(pass(100, 2100)).to.equal(2110);
    expect(pass(100, -1900)).to.equal(2210);
    expect(pass(100, 3100)).to.equal(5310);
  });

  it('ignores gradual corrections of the wall clock', () => {
    for (let second = 0; second < 1000; second += 1) pass(1000, 1000.5);
    expect(meter.elapsed()).to.equal(1_000_010);
  });

  it('follows the monotonic clock when the machine is not suspended', () => {
    const clock = new SystemClock();
    expect(Math.abs(clock.elapsed() - clock.monotonic())).to.be.lessThan(50);
  });
});
