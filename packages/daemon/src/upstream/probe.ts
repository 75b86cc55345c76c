import type {Buffer} from 'node:buffer';
import {BodyBuffer} from '@apricotwood/admission';
import {
	jitter, sleep, type Clock, type Random,
} from '@apricotwood/clock';
import VError from 'verror';
import * as z from 'zod';
import {LeaveReason, type WorkerLink} from './worker-link.js';
import type {WorkerRegistry} from './worker-registry.js';

/** Load report of a worker. */
const reportSchema = z.object({
	load: z.number(),
	/** Time of the load, Unix ms. @default the time the report is received */
	atMs: z.number().optional(),
	leaving: z.boolean().optional(),
});

const PROBE_TIMEOUT_MS = 1000;
/** Largest load report, bytes. */
const MAX_REPORT_BYTES = 16 * 1024;
/** Random variation as a fraction of the probe interval. */
const PROBE_JITTER_FRACTION = 0.3;

/** Dependencies, interval and HTTP path of the probes. */
export type ProberOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly workers: WorkerRegistry;
	readonly intervalMs: number;
	readonly path: string;
};

/** Polls workers for their load. Polls only workers with units granted to this host, so that the number of probes does not grow with the number of hosts. */
export class Prober {
	constructor(private readonly options: ProberOptions) {}

	/** Polls periodically until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, random, intervalMs, workers} = this.options;
		while (!signal.aborted) {
			const links = [...workers.all()].filter(link => link.holding.granted > 0);
			await Promise.all(links.map(async link => this.#probe(link))); // eslint-disable-line no-await-in-loop
			await sleep(clock, jitter(random, intervalMs, PROBE_JITTER_FRACTION), signal); // eslint-disable-line no-await-in-loop
		}
	}

	/** Updates the load of one worker. Ignores a failed probe, because the age of the last load already shows it. */
	async #probe(link: WorkerLink): Promise<void> {
		try {
			const res = await link.pool.request({method: 'GET', path: this.options.path, signal: AbortSignal.timeout(PROBE_TIMEOUT_MS)});
			const report = reportSchema.safeParse(await readReport(res.body));
			if (!report.success) {
				return;
			}

			const {load, atMs, leaving} = report.data;
			link.load = {value: load, atMs: atMs ?? this.options.clock.now()};
			if (leaving !== undefined) {
				link.setLeaveReason(LeaveReason.Worker, leaving);
			}
		} catch {}
	}
}

/** Reads a load report. @throws {VError} if it is too large; its connection is closed then. */
async function readReport(body: AsyncIterable<Buffer>): Promise<unknown> {
	const report = new BodyBuffer();
	for await (const chunk of body) {
		report.push(chunk);
		if (report.bytes > MAX_REPORT_BYTES) {
			throw new VError({name: 'ReportError', info: {bytes: report.bytes}}, 'a load report exceeds %d bytes', MAX_REPORT_BYTES);
		}
	}

	return JSON.parse(report.takeAll().toString());
}
