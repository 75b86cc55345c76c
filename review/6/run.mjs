// Clients book, each over a connection of its own. One host at a time stands still for some seconds while a few clients connect to it.
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {
	addHost, addWorker, awaitReady, createConfig, createDeployment, runCase, sendOverLink,
} from './rig.mjs';

/** One region of the site, with its hosts. */
const ZONES = {kelowna: 'okanagan', vernon: 'okanagan'};
const HOST_ZONES = ['kelowna', 'kelowna', 'vernon'];
/** Statuses that say that a request has not run and never will. */
const PROMISES = new Set([408, 421, 429, 503]);
const ROUNDS = 14;
/** Time for which a host stands still, ms; above the header timeout of 3 s. */
const FREEZE_MS = 3600;
const TRAFFIC_BEFORE_MS = 700;
const TRAFFIC_AFTER_MS = 1000;
/** Clients that connect at once, and the time between two such batches, ms. */
const BATCH = 12;
const BATCH_GAP_MS = 100;
/** The time from the last batch to the stop takes this many values, from 0 ms on. */
const STOP_DELAYS = 4;
/** Time budget of `crew-booking`. */
const TIME_BUDGET_MS = 6000;
/** The clients of vernon, which has one host, are sent to those of kelowna too: 3 ms to the zone and 3 ms between the zones, both ways. */
const ROUND_TRIP_MS = 12;

await runCase(fileURLToPath(new URL('.', import.meta.url)), async ({recorder, isTroubled, setDeployment}) => {
	const deployment = await createDeployment(ZONES);
	setDeployment(deployment);
	const {store, hosts} = deployment;
	const runs = new Map();
	for (const [index, zone] of ['kelowna', 'kelowna', 'vernon', 'vernon', 'kelowna', 'vernon'].entries()) {
		const worker = await addWorker(deployment, {id: `w-${index}`, service: 'dispatch', zone}); // eslint-disable-line no-await-in-loop
		worker.onEvent = (event, {id}, detail) => {
			if (event === 'run') {
				runs.set(detail.id, {worker: id, atMs: recorder.nowMs});
			}
		};
	}

	store.put('op', 'config', createConfig(1, [['book', '/book/', 'non_idempotent', 'dispatch', '1500ms']], ['dispatch']));
	for (const [index, zone] of HOST_ZONES.entries()) {
		addHost(deployment, {id: `h-${index}`, zone}).start();
	}

	await awaitReady(hosts);
	await sleep(3000);
	recorder.write('all hosts are ready');
	const answers = new Map();
	const pending = [];
	const book = async host => {
		const id = `b-${pending.length}`;
		const sentAtMs = recorder.nowMs;
		const answer = await sendOverLink({
			ip: host.ip,
			method: 'POST',
			path: `/book/${id}`,
			body: 'x'.repeat(1200),
			timeoutMs: TIME_BUDGET_MS,
			roundTripMs: ROUND_TRIP_MS,
			headers: {host: 'a.example', 'request-id': id, 'request-deadline-ms': String(TIME_BUDGET_MS)},
		});
		answers.set(id, {...answer, host: host.id, sentAtMs, atMs: recorder.nowMs});
	};

	const sendBatch = host => {
		for (let index = 0; index < BATCH; index++) {
			pending.push(book(host));
		}
	};

	for (let round = 0; round < ROUNDS; round++) {
		const host = hosts[round % hosts.length];
		const endMs = Date.now() + TRAFFIC_BEFORE_MS;
		while (Date.now() < endMs) {
			sendBatch(host);
			await sleep(BATCH_GAP_MS); // eslint-disable-line no-await-in-loop
		}

		sendBatch(host);
		await sleep(round % STOP_DELAYS); // eslint-disable-line no-await-in-loop
		if (isTroubled) {
			host.signal('SIGSTOP');
			recorder.write(`host ${host.id} stands still`);
		}

		await sleep(FREEZE_MS); // eslint-disable-line no-await-in-loop
		if (isTroubled) {
			host.signal('SIGCONT');
			recorder.write(`host ${host.id} goes on`);
		}

		await sleep(TRAFFIC_AFTER_MS); // eslint-disable-line no-await-in-loop
	}

	await Promise.all(pending);
	await sleep(1000);
	if (runs.size === 0) {
		throw new Error('no booking was run');
	}

	const outcomes = {};
	let broken = 0;
	for (const [id, {status, error, host, sentAtMs, atMs}] of answers) {
		const outcome = status ?? error;
		outcomes[outcome] = (outcomes[outcome] ?? 0) + 1;
		const run = runs.get(id);
		if (PROMISES.has(status) && run) {
			broken++;
			const [sent, answered, ran] = [sentAtMs, atMs, run.atMs].map(ms => (ms / 1000).toFixed(3));
			recorder.write(`booking ${id}, sent to host ${host} at ${sent}, was answered ${status} at ${answered} and was run by worker ${run.worker} at ${ran}`);
		}
	}

	recorder.write(`answers: ${JSON.stringify(outcomes)}; runs: ${runs.size}; bookings that were answered with a promise and run: ${broken}; allowed: 0`);
	return broken > 0;
});
