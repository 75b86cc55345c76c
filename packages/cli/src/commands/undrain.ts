import {type DrainKind} from '@apricotwood/agreement';
import {Args} from '@oclif/core';
import {fetchCurrentAgreement, sendPatch, type AcceptedPatch} from '../agreement.js';
import {BaseCommand} from '../base.js';
import {DRAIN_KIND_ARG, createDrainChange} from '../drain.js';

/** Lets a drained place take work again. */
export default class Undrain extends BaseCommand {
	static override description = 'Lets a drained worker, site, zone, host or region take work again.';
	static override examples = ['<%= config.bin %> undrain worker fleet-board-1'];
	static override args = {
		kind: Args.string(DRAIN_KIND_ARG),
		name: Args.string({required: true, description: 'name of the place'}),
	};

	async run(): Promise<AcceptedPatch> {
		const {args, flags} = await this.parse(Undrain);
		const client = this.createClient(flags);
		const {version} = await fetchCurrentAgreement(client);
		const answer = await sendPatch(client, version, [createDrainChange(args.kind as DrainKind, args.name, false)]);
		this.log(`version ${answer.version}: ${args.kind} ${args.name} takes work again`);
		return answer;
	}
}
