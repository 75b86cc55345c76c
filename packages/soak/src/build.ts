import {execFileSync} from 'node:child_process';
import {mkdirSync, readFileSync, rmSync} from 'node:fs';
import path from 'node:path';
import type {Plugin} from 'esbuild';
import {BREAKAGES, type Replacement} from './breakages.js';

/** Module `platform/bundle.mjs`. */
type Bundler = {
	bundle(outfile: string, plugins?: readonly Plugin[]): Promise<void>;
};

/** Environment variable of a host with the IP address at which it reaches all workers, each at the port that it has registered. */
export const WORKER_IP_VARIABLE = 'SOAK_WORKER_IP';

/** Lets each host reach the workers over links of its own, so that one host can be cut off. */
const INSTRUMENTATION: readonly Replacement[] = [
	{
		file: 'platform/src/main.ts',
		from: 'import {EntryHost} from ',
		to: 'import {EntryHost, createTcpConnector} from ',
	},
	{
		file: 'platform/src/main.ts',
		from: 'dialect: new PlatformHeaderCodec(),',
		to: `dialect: new PlatformHeaderCodec(), connector: (options, callback) => createTcpConnector()({...options, hostname: process.env.${WORKER_IP_VARIABLE}!}, callback),`,
	},
];

/**
 * Bundles the program of an entry host in the same way as for deployment, but for
 * the addresses of workers.
 * @param root root directory of the workspace.
 * @param breakage name of the breakage to apply, a key of `BREAKAGES`.
 * @returns `outfile`.
 * @throws if a source file no longer contains a text to replace.
 */
export async function buildProgram(root: string, outfile: string, breakage?: string): Promise<string> {
	const {bundle} = await import(path.join(root, 'platform/bundle.mjs')) as Bundler;
	await bundle(outfile, [createReplacementPlugin(root, breakage === undefined ? INSTRUMENTATION : [...INSTRUMENTATION, BREAKAGES[breakage]!])]);
	return outfile;
}

/**
 * Writes the sources of an earlier commit into a folder of the workspace, where they find its dependencies.
 * @returns the folder, a root for `buildProgram`.
 * @throws if the repository has no such commit.
 */
export function extractCommit(root: string, commit: string): string {
	const git = (...args: string[]) => execFileSync('git', ['-C', root, ...args], {encoding: 'utf8', stdio: ['ignore', 'pipe', 'pipe']}).trim();
	const id = git('rev-parse', '--verify', '--end-of-options', `${commit}^{commit}`);
	const folder = path.join(root, '.soak', `build-${id.slice(0, 12)}`);
	const archive = `${folder}.tar`;
	mkdirSync(folder, {recursive: true});
	git('archive', '--format=tar', `--output=${archive}`, id);
	execFileSync('tar', ['-xf', archive, '-C', folder]);
	rmSync(archive);
	return folder;
}

function createReplacementPlugin(root: string, replacements: readonly Replacement[]): Plugin {
	const sources = new Map<string, string>();
	for (const {file, from, to} of replacements) {
		const sourcePath = path.join(root, file);
		const source = sources.get(sourcePath) ?? readFileSync(sourcePath, 'utf8');
		if (!source.includes(from)) {
			throw new Error(`${file} does not contain the text to replace: ${from}`);
		}

		sources.set(sourcePath, source.replace(from, to));
	}

	return {
		name: 'replace',
		setup({onLoad}) {
			onLoad({filter: /\.ts$/}, ({path: loaded}) => {
				const contents = sources.get(loaded);
				return contents === undefined ? undefined : {contents, loader: 'ts'};
			});
		},
	};
}
