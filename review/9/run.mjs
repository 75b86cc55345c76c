// The workers of a service shed a part of their requests; meanwhile all hosts are killed at the same moment and start again.
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {
	BOUNDS, addHost, addWorker, awaitReady, createConfig, createDeployment, runCase, send,
} from '../6/rig.mjs';

const ZONES = {z1: 'r1', z2: 'r1', z3: 'r2'};
/** Requests a second, at each of four hosts: the site has 147 for `profile-lookup`. */
const REQUESTS_PER_SECOND = 36;
const BEFORE_MS = 12_000;
/** The workers shed for this long, ms, and this part of their requests. */
const SHED_MS = 8500;
const SHED_RATIO = 0.55;
/** Time from the start of the shedding to the kill, and from the kill to the restart, ms. */
const KILL_AFTER_MS = 4000;
const RESTART_MS = 500;
const AFTER_MS = 12_000;
const WINDOW_MS = 10_000;

/** Largest excess of the repeats over the bound in any window; the requests are those of the window, of the one before it or of the one half a window before, whichever has most. */
function findWorst(requestsMs, repeatsMs) {
	const count = (times, fromMs) => times.filter(ms => ms >= fromMs && ms < fromMs + WINDOW_MS).length;
	let worst = {excess: Number.NEGATIVE_INFINITY};
	for (const fromMs of repeatsMs) {
		const repeats = count(repeatsMs, fromMs);
		const requests = Math.max(count(requestsMs, fromMs), count(requestsMs, fromMs - (WINDOW_MS / 2)), count(requestsMs, fromMs - WINDOW_MS));
		const allowed = (BOUNDS.budget_ratio * requests) + BOUNDS.budget_extra;
		if (repeats - allowed > worst.excess) {
			worst = {
				excess: repeats - allowed, repeats, requests, allowed, fromMs,
			};
		}
	}

	return worst;
}

await runCase(fileURLToPath(new URL('.', import.meta.url)), async ({recorder, isTroubled, setDeployment}) => {
	const deployment = await createDeployment(ZONES);
	setDeployment(deployment);
	const {store, hosts, workers} = deployment;
	const requestsMs = [];
	const repeatsMs = [];
	const seen = new Set();
	for (let index = 0; index < 12; index++) {
		const worker = await addWorker(deployment, {id: `w-${index}`, service: 'catalogue', zone: Object.keys(ZONES)[index % 3]}); // eslint-disable-line no-await-in-loop
		worker.workMs = 20;
		worker.onEvent = (event, _worker, detail) => {
			if (event === 'arrival' && seen.has(detail.id)) {
				repeatsMs.push(detail.atMs);
			} else if (event === 'arrival') {
				seen.add(detail.id);
			}
		};
	}

	store.put('op', 'config', createConfig(1, [['lookup', '/lookup/', 'idempotent', 'catalogue']], ['catalogue']));
	for (const [index, zone] of ['z1', 'z1', 'z2', 'z3'].entries()) {
		addHost(deployment, {id: `h-${index}`, zone}).start();
	}

	await awaitReady(hosts);
	await sleep(3500);
	recorder.write('all hosts are ready');
	const statuses = {};
	const endMs = Date.now() + BEFORE_MS + SHED_MS + AFTER_MS;
	const traffic = hosts.map(async host => {
		const pending = [];
		for (let index = 0; Date.now() < endMs; index++) {
			requestsMs.push(Date.now());
			pending.push(send({
				ip: host.ip, path: `/lookup/${index}`, headers: {host: 'a.example', 'request-id': `${host.id}-${index}`, 'request-deadline-ms': '4000'},
			}).then(({status, error}) => {
				const outcome = status ?? error.split(' ')[0];
				statuses[outcome] = (statuses[outcome] ?? 0) + 1;
			}));
			await sleep(1000 / REQUESTS_PER_SECOND); // eslint-disable-line no-await-in-loop
		}

		await Promise.all(pending);
	});
	await sleep(BEFORE_MS);
	recorder.write(`the workers shed ${SHED_RATIO} of their requests`);
	for (const worker of workers) {
		worker.shedRatio = SHED_RATIO;
	}

	await sleep(KILL_AFTER_MS);
	if (isTroubled) {
		recorder.write('all hosts are killed');
		await Promise.all(hosts.map(async host => host.kill()));
		await sleep(RESTART_MS);
		for (const host of hosts) {
			host.start();
		}
	}

	await sleep(SHED_MS - KILL_AFTER_MS - (isTroubled ? RESTART_MS : 0));
	recorder.write('the workers shed no more');
	for (const worker of workers) {
		worker.shedRatio = 0;
	}

	await Promise.all(traffic);
	recorder.write(`requests: ${requestsMs.length}; repeats at workers: ${repeatsMs.length}; answers: ${JSON.stringify(statuses)}`);
	if (repeatsMs.length === 0) {
		throw new Error('no request was repeated');
	}

	const {repeats, requests, allowed} = findWorst(requestsMs, repeatsMs);
	recorder.write(`worst window of ${WINDOW_MS} ms: ${repeats} repeats; allowed: ${allowed.toFixed(1)} (${BOUNDS.budget_ratio} of ${requests} requests and ${BOUNDS.budget_extra})`);
	return repeats > allowed;
});
