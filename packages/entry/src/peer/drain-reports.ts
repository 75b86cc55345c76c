import type {Clock} from '@apricotwood/clock';
import {
	WorkerState, type DrainReport, type DrainTracker, type Worker,
} from '@apricotwood/steering';
import type {Log} from '@apricotwood/telemetry';
import * as z from 'zod';
import type {ReplicatedState} from '../state/replicated-state.js';
import {ReportKind} from './report-codec.js';
import type {ReportTopic} from './reports.js';

/** Dependencies of `DrainReports`. */
export type DrainReportsDeps = {
	readonly clock: Clock;
	readonly log: Log;
	readonly state: ReplicatedState;
	readonly drains: DrainTracker;
};

/** A worker that is leaving, with the progress of reporting it. */
type PendingReport = {
	readonly bornMs: number;
	/** Number of further reports that include it without delay. */
	remainingReports: number;
	/** Monotonic ms. */
	reportedAtMs: number;
};

/** Number of reports that include a worker after it has become known to be leaving. */
const REPORTS_PER_CHANGE = 4;
/** Interval at which it is reported then, as long as the store does not tell of it, ms. */
const REFRESH_INTERVAL_MS = 1000;
/** Maximum number of workers in a message. */
const MAX_ENTRIES = 64;

const entriesSchema = z.array(z.tuple([z.number().int().min(0), z.number().int().min(0)]));

/** Exchanges with the other hosts which workers have said that they are leaving, while the store does not tell of it. Hosts of releases without this kind of report ignore it. */
export class DrainReports implements ReportTopic {
	readonly kind = ReportKind.Drains;
	readonly #pending = new Map<number, PendingReport>();

	constructor(private readonly deps: DrainReportsDeps) {}

	/** Records a worker that has told this host that it is leaving. */
	recordOwn({hash, registration: {bornMs}}: Worker): void {
		this.#put({worker: hash, bornMs});
	}

	/** Each entry is the hash of the worker and its start. */
	takeEntries(nowMs: number): unknown[] {
		const entries: unknown[] = [];
		for (const [worker, report] of this.#pending) {
			const isRefreshDue = nowMs - report.reportedAtMs >= REFRESH_INTERVAL_MS;
			if (report.remainingReports === 0 && !isRefreshDue) {
				continue;
			}

			if (report.remainingReports === 0 && !this.#isUnknownToStore(worker, report)) {
				this.#pending.delete(worker);
				continue;
			}

			report.remainingReports = Math.max(0, report.remainingReports - 1);
			report.reportedAtMs = nowMs;
			entries.push([worker, report.bornMs]);
			if (entries.length === MAX_ENTRIES) {
				break;
			}
		}

		return entries;
	}

	receive(entries: unknown): boolean {
		const parsed = entriesSchema.safeParse(entries);
		if (!parsed.success) {
			return false;
		}

		for (const [worker, bornMs] of parsed.data) {
			if (this.deps.drains.record({worker, bornMs})) {
				this.#put({worker, bornMs});
				this.deps.log.info({event: 'worker-draining', worker: this.deps.state.fleet.findByHash(worker)?.registration.id, bornMs});
			}
		}

		return true;
	}

	#put({worker, bornMs}: DrainReport): void {
		this.#pending.set(worker, {bornMs, remainingReports: REPORTS_PER_CHANGE, reportedAtMs: this.deps.clock.monotonic()});
	}

	/** Whether hosts that read the store would use the worker. */
	#isUnknownToStore(hash: number, {bornMs}: PendingReport): boolean {
		const worker = this.deps.state.fleet.findByHash(hash);
		return worker?.registration.bornMs === bornMs && worker.registration.state === WorkerState.Ready;
	}
}
