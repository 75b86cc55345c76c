import {LeaveReason, type WorkerLink} from '../upstream/worker-link.js';
import {HeaderName} from './headers.js';

/** Load, optionally followed by its time in Unix ms. */
const LOAD_REPORT = /^(\d+(?:\.\d+)?)(?:;(\d{1,16}))?$/;

/** Updates a worker's load and draining state from its response headers; `nowMs` is Unix ms. */
export function applyWorkerHeaders(link: WorkerLink, headers: Readonly<Record<string, string | string[] | undefined>>, nowMs: number): void {
	const load = headers[HeaderName.Load];
	const parts = typeof load === 'string' ? LOAD_REPORT.exec(load) : undefined;
	if (parts) {
		link.load = {value: Number(parts[1]), atMs: parts[2] === undefined ? nowMs : Number(parts[2])};
	}

	if (headers[HeaderName.Draining] === '1') {
		link.setLeaveReason(LeaveReason.Worker, true);
	}
}
