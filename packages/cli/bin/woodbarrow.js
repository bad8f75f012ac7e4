#!/usr/bin/env node
import { runCli } from '../dist/src/index.js';

await runCli(process.argv.slice(2));
