import type {Clock} from '@apricotwood/clock';
import type {CrashTracker, TrialReport} from '@apricotwood/steering';
import * as z from 'zod';
import {fingerprintSchema} from '../entry-schemas.js';
import {ReportKind} from './report-codec.js';
import type {ReportTopic} from './reports.js';

/** Dependencies of `TrialReports`. */
export type TrialReportsDeps = {
	readonly clock: Clock;
	readonly crashes: CrashTracker;
	/** Called when a report of a peer has changed what is known. @param requests fingerprints of the requests that they are about. */
	readonly onChange: (requests: readonly string[]) => void;
};

/** Upper bound of the times in a report, ms: an hour. */
const MAX_WAIT_MS = 3_600_000;

const hashSchema = z.number().int().min(0);
const waitSchema = z.number().min(0).max(MAX_WAIT_MS);
const trialsSchema = z.array(z.tuple([fingerprintSchema, z.number().int().min(0), z.array(hashSchema), waitSchema, hashSchema, waitSchema, z.boolean()]));

/** Encodes what is known of trials, each as fingerprint, generation, ids of the runs, time until the next one in ms, hash of the host whose turn it is, time of that turn in ms, and whether there is evidence for the request. */
export function encodeTrials(reports: readonly TrialReport[]): unknown[] {
	return reports.map(({request, generation, runs, waitMs, turnHost, turnMs, isDoubtful}) => [request, generation, runs, Math.ceil(waitMs), turnHost, Math.ceil(turnMs), isDoubtful]);
}

/** Decodes and validates reports of trials. @returns `undefined` if they are invalid. */
export function decodeTrials(entries: unknown): TrialReport[] | undefined {
	const parsed = trialsSchema.safeParse(entries);
	return parsed.success
		? parsed.data.map(([request, generation, runs, waitMs, turnHost, turnMs, isDoubtful]) => ({
			request, generation, runs, waitMs, turnHost, turnMs, isDoubtful,
		}))
		: undefined;
}

/** Exchanges with the other hosts which of them sends a trial of a request that is held to crash workers, and how many were sent. A host of an earlier build counts these reports as unreadable and sends no trials. */
export class TrialReports implements ReportTopic {
	readonly kind = ReportKind.Trials;

	constructor(private readonly deps: TrialReportsDeps) {}

	takeEntries(nowMs: number): unknown[] {
		return encodeTrials(this.deps.crashes.takeTrialReports(nowMs));
	}

	repeat(): void {
		this.deps.crashes.repeatTrialReports();
	}

	receive(entries: unknown): boolean {
		const {crashes, clock, onChange} = this.deps;
		const reports = decodeTrials(entries);
		if (!reports) {
			return false;
		}

		const changed = reports.filter(report => crashes.recordPeerTrials(report, clock.monotonic()));
		if (changed.length > 0) {
			onChange(changed.map(({request}) => request));
		}

		return true;
	}
}
