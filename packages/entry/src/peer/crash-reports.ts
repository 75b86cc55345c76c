import type {Clock} from '@apricotwood/clock';
import type {CrashReport, CrashTracker} from '@apricotwood/steering';
import * as z from 'zod';
import {fingerprintSchema} from '../entry-schemas.js';
import {ReportKind} from './report-codec.js';
import type {ReportTopic} from './reports.js';

/** Dependencies of `CrashReports`. */
export type CrashReportsDeps = {
	readonly clock: Clock;
	readonly crashes: CrashTracker;
	/** Called when a report of a peer has changed what is known. @param requests fingerprints of the requests that they are about. */
	readonly onChange: (requests: readonly string[]) => void;
};

const crashesSchema = z.array(z.tuple([fingerprintSchema, z.number().int().min(0), z.array(z.number()), z.number().min(0)]));

/** Encodes what is known of requests that were at crashes, each as fingerprint, generation, worker hashes and age in ms. */
export function encodeCrashes(reports: readonly CrashReport[]): unknown[] {
	return reports.map(({request, generation, workers, ageMs}) => [request, generation, workers, Math.round(ageMs)]);
}

/** Decodes and validates reports of crashes. @returns `undefined` if they are invalid. */
export function decodeCrashes(entries: unknown): CrashReport[] | undefined {
	const parsed = crashesSchema.safeParse(entries);
	return parsed.success
		? parsed.data.map(([request, generation, workers, ageMs]) => ({
			request, generation, workers, ageMs,
		}))
		: undefined;
}

/** Exchanges with the other hosts which requests were at workers when they crashed: each host may see only one of the crashes. */
export class CrashReports implements ReportTopic {
	readonly kind = ReportKind.Crashes;

	constructor(private readonly deps: CrashReportsDeps) {}

	takeEntries(nowMs: number): unknown[] {
		return encodeCrashes(this.deps.crashes.takeReports(nowMs));
	}

	repeat(): void {
		this.deps.crashes.repeatReports();
	}

	receive(entries: unknown): boolean {
		const {crashes, clock, onChange} = this.deps;
		const reports = decodeCrashes(entries);
		if (!reports) {
			return false;
		}

		const changed = reports.filter(report => crashes.recordPeerReport(report, clock.monotonic()));
		if (changed.length > 0) {
			onChange(changed.map(({request}) => request));
		}

		return true;
	}
}
