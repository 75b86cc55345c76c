import {writeFileSync, appendFileSync} from 'node:fs';

/** Record of a run: one line for each event, with the time since the start. */
export class Record {
	#startMs = Date.now();

	constructor(path) {
		this.path = path;
		writeFileSync(path, '');
	}

	get nowMs() {
		return Date.now() - this.#startMs;
	}

	write(event, fields = {}) {
		appendFileSync(this.path, `${String(this.nowMs).padStart(6)} ${event} ${JSON.stringify(fields)}\n`);
	}
}
