import { expect } from 'chai';
import { LoadTimes } from '../src/index.js';
import { modelDefinition } from './simulated-workers.js';

const MODEL = { ...modelDefinition('m'), storeLoadMs: 6000, diskLoadMs: 800, memoryLoadMs: 400 };

describe('LoadTimes', () => {
  it('expects the configured times until something is measured', () => {
    const times = new LoadTimes();
    expect(times.loadMs(MODEL, 'disk')).to.equal(800);
    expect(times.loadMs(MODEL, 'memory')).to.equal(400);
  });

  it('follows measured times, each source for itself', () => {
    const times = new LoadTimes();
    for (let count = 0; count < 20; count += 1) times.recordLoad(MODEL, 'disk', 1600);
    expect(times.loadMs(MODEL, 'disk')).to.be.within(1580, 1600);
    expect(times.loadMs(MODEL, 'store')).to.equal(6000);
  });

  it('expects an unload to end with the runs of the model, as far as their foretold end has proved right', () => {
    const times = new LoadTimes();
    expect(times.unloadMs(1000)).to.equal(times.unloadMs(0) + 1000);
    for (let count = 0; count < 20; count += 1) times.recordUnload(1000, times.unloadMs(0) + 1500);
    expect(times.unloadMs(1000) - times.unloadMs(0)).to.be.within(1480, 1500);
  });

  it('does not believe single unloads that took far longer than foretold', () => {
    const times = new LoadTimes();
    times.recordUnload(100, 9000);
    expect(times.unloadMs(1000) - times.unloadMs(0)).to.be.at.most(1300);
  });
});
