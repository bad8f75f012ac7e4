#!/usr/bin/env node
import { runLab } from '../dist/src/run-lab.js';

await runLab(process.argv.slice(2));
