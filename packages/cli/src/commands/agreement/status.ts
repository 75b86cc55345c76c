import {BaseCommand} from '../../base.js';

type Status = {
	readonly version: number;
	readonly hosts: ReadonlyArray<{id: string; phase: string; version?: number; pending: readonly string[]}>;
};

/** Says on which hosts the newest version is in force. */
export default class AgreementStatus extends BaseCommand {
	static override description = 'Says on which hosts the newest version is in force, and which lowered limits are pending where.';

	async run(): Promise<Status> {
		const {flags} = await this.parse(AgreementStatus);
		const answer = await this.createClient(flags).get<Status>('/v1/agreement/status');
		this.log(`version ${answer.version}`);
		this.printTable(['host', 'phase', 'version', 'pending'], answer.hosts.map(({id, phase, version, pending}) => [id, phase, version, pending.join(' ') || undefined]));
		return answer;
	}
}
