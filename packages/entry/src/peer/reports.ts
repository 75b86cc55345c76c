import type {Buffer} from 'node:buffer';
import type {Metrics} from '@apricotwood/telemetry';
import {decodeReport, encodeReport, type ReportKind} from './report-codec.js';

/** A kind of knowledge that hosts exchange. Each host reports what it knows itself or has learned from a peer, so that reports also spread over relays. */
export interface ReportTopic {
	readonly kind: ReportKind;
	/** Takes the entries to report now, a bounded number; none if there is nothing to tell. */
	takeEntries(nowMs: number): unknown[];
	/** Makes all that a host which has just started must know due again, a bounded number. */
	repeat?(): void;
	/** Records the entries of a peer. @returns `false` if they are invalid. */
	receive(entries: unknown): boolean;
}

/** Creates and receives the reports that follow the heartbeats. */
export class PeerReports {
	constructor(private readonly topics: readonly ReportTopic[], private readonly metrics: Metrics) {}

	/** Creates one message for each topic that has something to report. */
	create(nowMs: number): Buffer[] {
		const messages: Buffer[] = [];
		for (const topic of this.topics) {
			const entries = topic.takeEntries(nowMs);
			if (entries.length > 0) {
				messages.push(encodeReport({kind: topic.kind, entries}));
			}
		}

		return messages;
	}

	/** Makes what a host must know that has just started due again. */
	repeat(): void {
		for (const topic of this.topics) {
			topic.repeat?.();
		}
	}

	/** Records the report of a peer; an invalid one is counted. */
	receive(bytes: Buffer): void {
		const report = decodeReport(bytes);
		const topic = this.topics.find(({kind}) => kind === report?.kind);
		if (!topic?.receive(report?.entries)) {
			this.metrics.count('beats.unreadable');
		}
	}
}
