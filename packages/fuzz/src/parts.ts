import {PartName} from './part-name.js';
import type {Part} from './part.js';
import {RowsPart} from './rows/rows-part.js';
import {WorkerPart} from './worker/worker-part.js';

/** Creates a part of the checker. */
export function createPart(name: PartName): Part<unknown> {
	switch (name) {
		case PartName.Worker: {
			return new WorkerPart();
		}

		case PartName.Rows: {
			return new RowsPart();
		}
	}
}

/** Number of runs at the same time. Most of a run is waiting; more would make the process late. */
export const LANES: Readonly<Record<PartName, number>> = {[PartName.Worker]: 40, [PartName.Rows]: 24};
