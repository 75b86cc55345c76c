import type {Clock} from '@apricotwood/clock';
import * as z from 'zod';
import type {Member, MemberList} from './members.js';
import {ReportKind} from './report-codec.js';
import type {ReportTopic} from './reports.js';

/** Whether a host reached no worker, as of its last change. */
type IsolationRecord = {
	/** Start of the host, Unix ms; a later start supersedes what is known. */
	readonly startedMs: number;
	/** Number of changes since the start. */
	readonly changes: number;
	readonly isIsolated: boolean;
	/** Number of further reports that include the record. */
	remainingReports: number;
	/** Monotonic ms. */
	reportedAtMs: number;
};

/** Number of reports that include a change. */
const REPORTS_PER_CHANGE = 4;
/** Interval at which isolated hosts are reported without a change, ms. */
const REFRESH_INTERVAL_MS = 1000;

const entriesSchema = z.array(z.tuple([z.number(), z.number(), z.number().int().min(1), z.boolean()]));

/** Exchanges with the other hosts which of them reach no worker. Callers are not sent to those, and requests not passed on to them. */
export class IsolationReports implements ReportTopic {
	readonly kind = ReportKind.Isolation;
	readonly #records = new Map<number, IsolationRecord>();

	constructor(private readonly members: MemberList, private readonly clock: Clock) {}

	/** Records a change at this host. */
	recordOwn(isIsolated: boolean): void {
		const {hash, self: {startedMs}} = this.members;
		this.#put(hash, startedMs, (this.#records.get(hash)?.changes ?? 0) + 1, isIsolated);
	}

	/** Whether the host has reported that it reaches no worker. */
	isIsolated({hash, entry}: Member): boolean {
		const record = this.#records.get(hash);
		return record?.isIsolated === true && record.startedMs === entry.startedMs;
	}

	/** Selects the live hosts that serve callers and reach workers. */
	listServing(nowMs: number): Member[] {
		return this.members.ready(nowMs).filter(member => !this.isIsolated(member));
	}

	/** Each entry is the hash of the host, its start, the number of changes and whether it is isolated. */
	takeEntries(nowMs: number): unknown[] {
		const entries: unknown[] = [];
		for (const [hash, record] of this.#records) {
			const isRefreshDue = record.isIsolated && nowMs - record.reportedAtMs >= REFRESH_INTERVAL_MS;
			if (record.remainingReports > 0 || isRefreshDue) {
				record.remainingReports = Math.max(0, record.remainingReports - 1);
				record.reportedAtMs = nowMs;
				entries.push([hash, record.startedMs, record.changes, record.isIsolated]);
			}
		}

		return entries;
	}

	receive(entries: unknown): boolean {
		const parsed = entriesSchema.safeParse(entries);
		if (!parsed.success) {
			return false;
		}

		for (const [hash, startedMs, changes, isIsolated] of parsed.data) {
			const known = this.#records.get(hash);
			const isLater = !known || startedMs > known.startedMs || (startedMs === known.startedMs && changes > known.changes);
			const member = this.members.find(hash);
			if (isLater && member && hash !== this.members.hash) {
				this.#put(hash, startedMs, changes, isIsolated);
			}
		}

		return true;
	}

	#put(hash: number, startedMs: number, changes: number, isIsolated: boolean): void {
		this.#records.set(hash, {
			startedMs, changes, isIsolated, remainingReports: REPORTS_PER_CHANGE, reportedAtMs: this.clock.monotonic(),
		});
	}
}
