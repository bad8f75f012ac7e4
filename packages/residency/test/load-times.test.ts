import { expect } from 'chai';
import { LoadTimes } from '../src/index.js';
import { modelDefinition } from './simulated-workers.js';

const MODEL = { ...modelDefinition('m'), storeLoadMs: 6000, diskLoadMs: 800, memoryLoadMs: 400 };

describe('LoadTimes', () => {
  it('returns the configured times before any measurement', () => {
    const times = new LoadTimes();
    expect(times.loadMs(MODEL, 'disk')).to.equal(800);
    expect(times.loadMs(MODEL, 'memory')).to.equal(400);
  });

  it('follows measured times separately for each source', () => {
    const times = new LoadTimes();
    for (let count = 0; count < 20; count += 1) times.recordLoad(MODEL, 'disk', 1600);
    expect(times.loadMs(MODEL, 'disk')).to.be.within(1580, 1600);
    expect(times.loadMs(MODEL, 'store')).to.equal(6000);
  });

  it('scales the predicted end of runs by the ratio measured for earlier unloads', () => {
    const times = new LoadTimes();
    expect(times.unloadMs(1000)).to.equal(times.unloadMs(0) + 1000);
    for (let count = 0; count < 20; count += 1) times.recordUnload(1000, times.unloadMs(0) + 1500);
    expect(times.unloadMs(1000) - times.unloadMs(0)).to.be.within(1480, 1500);
  });

  it('limits the effect of a single unload that took far longer than predicted', () => {
    const times = new LoadTimes();
    times.recordUnload(100, 9000);
    expect(times.unloadMs(1000) - times.unloadMs(0)).to.be.at.most(1300);
  });
});
