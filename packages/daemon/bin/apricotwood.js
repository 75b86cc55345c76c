#!/usr/bin/env node
import process from 'node:process';
import {runDaemon} from '../dist/main.js';

process.exitCode = await runDaemon(process.argv.slice(2));
