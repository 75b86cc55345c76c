/* eslint-disable no-await-in-loop -- the steps of a case follow each other, and some go on beside them */
import path from 'node:path';
import process from 'node:process';
import {Deployment} from './hosts.mjs';
import {Record} from './record.mjs';
import {Store} from './store.mjs';

/** Exit codes of a case. */
const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;
/** Longest run of a case, ms. */
const TIMEOUT_MS = 115_000;

/**
 * Runs a case and exits with its result.
 * @param folder folder of the case, for `record.txt`.
 * @param settings regions and bounds of the deployment.
 * @param play gets the parts of the case; returns whether the rule held. What it adds to `closers` is called at the end.
 */
export async function runCase(folder, settings, play) {
	const record = new Record(path.join(folder, 'record.txt'));
	const hasTrouble = process.env.TROUBLE !== '0';
	const closers = [];
	let exitCode = NOT_RUN;
	let deployment;
	const giveUp = reason => {
		record.write('given-up', {reason});
		deployment?.killNow();
		process.exit(NOT_RUN); // eslint-disable-line unicorn/no-process-exit
	};

	const timer = setTimeout(() => {
		giveUp('timeout');
	}, TIMEOUT_MS);
	for (const name of ['SIGTERM', 'SIGINT', 'SIGHUP']) {
		process.once(name, () => {
			giveUp(name);
		});
	}

	for (const name of ['uncaughtException', 'unhandledRejection']) {
		process.once(name, error => {
			giveUp(`${name}: ${error?.stack}`);
		});
	}

	try {
		const store = await new Store().start();
		deployment = new Deployment(store, record, settings);
		record.write('case', {hasTrouble});
		const hasHeld = await play({store, record, deployment, hasTrouble, closers});
		exitCode = hasHeld ? HELD : BROKEN;
	} catch (error) {
		record.write('error', {message: error.stack});
	}

	clearTimeout(timer);
	await deployment?.stop();
	for (const close of closers) {
		await close();
	}

	record.write('end', {exitCode});
	console.log(`exit ${exitCode}`);
	process.exit(exitCode); // eslint-disable-line unicorn/no-process-exit
}
