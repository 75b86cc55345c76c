import {writeFileSync} from 'node:fs';
import {SeededRandom} from '@apricotwood/clock';
import {
	Experiment, parsePattern, renderReport, type PolicyResult, type Policy,
} from '@apricotwood/experiment';
import {Args, Flags} from '@oclif/core';
import {BaseCommand, ExitCode} from '../../base.js';

const POLICY_OPTIONS = ['copies', 'nearness', 'uploadNearness'] as const;

type ResultRow = {
	readonly policy: string;
	readonly value: number;
	readonly inTime: number;
	readonly late: number;
	readonly lost: number;
};

/** Replays a load pattern under several policies. */
export default class ExperimentRun extends BaseCommand {
	static override description = 'Replays a recorded load against a model of the workers, once for each policy, and ranks them.';
	static override examples = ['<%= config.bin %> experiment run load.json --policy copies=4 --policy copies=1,nearness=1 --report report.html'];
	static override args = {pattern: Args.string({required: true, description: 'file with a load pattern'})};
	static override flags = {
		policy: Flags.string({multiple: true, default: ['copies=4'], description: `a policy: ${POLICY_OPTIONS.join(', ')}, as NAME=N, separated by commas`}),
		seed: Flags.integer({default: 1, description: 'seed of the model'}),
		report: Flags.string({description: 'file for an HTML report'}),
	};

	async run(): Promise<ResultRow[]> {
		const {args, flags} = await this.parse(ExperimentRun);
		const pattern = parsePattern(this.readJsonFile(args.pattern));
		const results: PolicyResult[] = flags.policy.map(name => ({name, result: new Experiment(pattern, this.#parsePolicy(name), new SeededRandom(flags.seed)).run()}));
		const rows = results.map(({name, result: {value, total: {inTime, late, lost}}}): ResultRow => ({
			policy: name, value, inTime, late, lost,
		})).toSorted((a, b) => b.value - a.value);
		this.printTable(['policy', 'value', 'in time', 'late', 'lost'], rows.map(({policy, value, inTime, late, lost}) => [policy, value.toFixed(3), inTime, late, lost]));
		if (flags.report !== undefined) {
			writeFileSync(flags.report, renderReport(results));
		}

		return rows;
	}

	#parsePolicy(text: string): Policy {
		const policy: Record<string, number> = {};
		for (const part of text.split(',')) {
			const [name, value] = part.split('=');
			const option = POLICY_OPTIONS.find(one => one === name);
			if (!option || !(Number(value) > 0)) {
				this.error(`--policy: ${part} is none of ${POLICY_OPTIONS.join(', ')} with a number above 0`, {exit: ExitCode.BadInput});
			}

			policy[option] = Number(value);
		}

		return policy;
	}
}
