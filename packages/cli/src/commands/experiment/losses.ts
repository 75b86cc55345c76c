import {
	LossCause, countLosses, type LossCounts, type Losses,
} from '@apricotwood/experiment';
import {Flags} from '@oclif/core';
import {BaseCommand, ExitCode} from '../../base.js';

const DEFAULT_WINDOW_MS = 2000;

/** Shows from logs how many requests were late or lost, and why. */
export default class ExperimentLosses extends BaseCommand {
	static override description = 'Counts the requests in the logs of all hosts by what became of them: answered in time, or late or lost for which reason; in total, by route and by window of time.';
	static override examples = ['<%= config.bin %> experiment losses --logs logs/ --window 2000'];
	static override flags = {
		logs: Flags.string({required: true, description: 'a log file, or a folder of log files'}),
		window: Flags.integer({default: DEFAULT_WINDOW_MS, min: 100, description: 'length of a window, ms'}),
	};

	async run(): Promise<Omit<Losses, 'byRoute'> & {byRoute: Record<string, LossCounts>}> {
		const {flags} = await this.parse(ExperimentLosses);
		const losses = countLosses(this.readLogLines(flags.logs), flags.window);
		if (losses.windows.length === 0) {
			this.error(`no request in ${flags.logs}`, {exit: ExitCode.Failed});
		}

		const causes = Object.values(LossCause).filter(cause => losses.total[cause] > 0);
		const toCells = (name: string, counts: LossCounts) => [name, ...causes.map(cause => String(counts[cause]))];
		this.printTable(['', ...causes], [
			toCells('all', losses.total),
			...Array.from(losses.byRoute, ([route, counts]) => toCells(route, counts)),
			...losses.windows.map(({startMs, counts}) => toCells(`${startMs / 1000} s`, counts)),
		]);
		return {...losses, byRoute: Object.fromEntries(losses.byRoute)};
	}
}
