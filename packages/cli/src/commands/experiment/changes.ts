import {listChanges, type ChangeSpread} from '@apricotwood/experiment';
import {Flags} from '@oclif/core';
import {BaseCommand, ExitCode} from '../../base.js';

/** Shows from logs how long configurations took until they were in force. */
export default class ExperimentChanges extends BaseCommand {
	static override description = 'Shows for each configuration version in the logs of all hosts where it was in force first and last, how far apart, and for how long it may have been confirmed by then.';
	static override examples = ['<%= config.bin %> experiment changes --logs logs/'];
	static override flags = {
		logs: Flags.string({required: true, description: 'a log file, or a folder of log files'}),
	};

	async run(): Promise<ChangeSpread[]> {
		const {flags} = await this.parse(ExperimentChanges);
		const changes = listChanges(this.readLogLines(flags.logs));
		if (changes.length === 0) {
			this.error(`no change of a configuration in ${flags.logs}`, {exit: ExitCode.Failed});
		}

		this.printTable(['version', 'hosts', 'first', 'last', 'apart ms', 'delay ms at most', 'failed requests'], changes.map(change => [
			String(change.version), String(change.hostCount), change.firstHost, change.lastHost, String(change.spreadMs), String(change.maxDelayMs ?? ''), String(change.failedRequests),
		]));
		return changes;
	}
}
