import type {WorkerRegistration} from '@apricotwood/steering';

/** Number of workers above which the longest unchanged reports are forgotten. */
const MAX_REPORTS = 20_000;

type Report = {readonly bornMs: number; readonly sequence: number; readonly coldMs: number; readonly isRemoved: boolean};

/**
 * Remembers the latest report of each worker, also of removed ones. A source
 * that was restored from a copy returns reports that are older than known ones:
 * a worker that is draining or gone would seem to be ready again.
 *
 * A report need not change what the hosts hold of the worker, so the latest one is
 * remembered here apart from that: it tells a further cold period from a report
 * that was received before.
 */
export class WorkerReports {
	readonly #reports = new Map<string, Report>();

	/** Records a report that was taken over. */
	record({id, bornMs, sequence, coldMs}: WorkerRegistration): void {
		const known = this.#reports.get(id);
		const isOlder = known?.bornMs === bornMs && sequence < known.sequence;
		const latest = isOlder ? known : {bornMs, sequence, coldMs};
		this.#set(id, {...latest, isRemoved: false});
	}

	recordRemoval(id: string): void {
		const known = this.#reports.get(id);
		if (known) {
			this.#set(id, {...known, isRemoved: true});
		}
	}

	/**
	 * Whether the report says that the worker is cold and is later than the latest
	 * known one of the same start. The sequence tells; where it is the same, as it is
	 * for workers that report none, the value does.
	 */
	isLaterColdReport({id, bornMs, sequence, coldMs}: WorkerRegistration): boolean {
		const known = this.#reports.get(id);
		if (coldMs === 0 || known?.bornMs !== bornMs) {
			return false;
		}

		return sequence > known.sequence || (sequence === known.sequence && coldMs !== known.coldMs);
	}

	/**
	 * Whether the report is older than the latest known one of the same start of
	 * the worker, or not newer than that of a removed worker.
	 * @param isFromCopy whether the report is in the copy itself. Then the report of an earlier start is outdated too; otherwise it may come from a worker whose clock was set back.
	 */
	isOutdated({id, bornMs, sequence}: WorkerRegistration, isFromCopy: boolean): boolean {
		const known = this.#reports.get(id);
		if (known === undefined) {
			return false;
		}

		if (bornMs === known.bornMs) {
			return sequence < known.sequence || (known.isRemoved && sequence === known.sequence);
		}

		return isFromCopy && bornMs < known.bornMs;
	}

	#set(id: string, report: Report): void {
		this.#reports.delete(id);
		this.#reports.set(id, report);
		if (this.#reports.size > MAX_REPORTS) {
			const [oldest] = this.#reports.keys();
			this.#reports.delete(oldest!);
		}
	}
}
