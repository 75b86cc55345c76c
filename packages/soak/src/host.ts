import {spawn, type ChildProcess} from 'node:child_process';
import {
	createWriteStream, mkdirSync, readFileSync, writeFileSync,
} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {
	callerAddress, fetchReadiness, createHostSettings, type TestHostOptions,
} from '@apricotwood/platform/standin';

/** Child processes that are killed when this process exits. */
const children = new Set<ChildProcess>();

process.once('exit', () => {
	for (const child of children) {
		child.kill('SIGKILL');
	}
});

function killAtExit(child: ChildProcess): void {
	children.add(child);
	child.once('exit', () => {
		children.delete(child);
	});
}

/** Exit of a host process. */
export type HostExit = {
	readonly host: string;
	readonly code: number | null;
	readonly signal: NodeJS.Signals | null;
	/** Unix ms. */
	readonly atMs: number;
	/** Whether the run ended the process, by a fault or at the end of the run. */
	readonly wasWanted: boolean;
};

/** Maximum time from a stop signal to the exit of the process, ms. */
export const STOP_TIMEOUT_MS = 6500;

/** Entry host that runs in a child process. */
export class HostProcess {
	#child: ChildProcess | undefined;
	#isExitExpected = false;

	constructor(
		readonly options: TestHostOptions,
		/** Path of the bundle that the next start runs. */
		public program: string,
		private readonly directory: string,
		/** Further environment variables of the process. */
		private readonly env: Readonly<Record<string, string>>,
		private readonly onExit: (exit: HostExit) => void,
	) {
		mkdirSync(directory, {recursive: true});
	}

	/** `IP:port` that callers connect to. */
	get address(): string {
		return callerAddress(this.options.ip);
	}

	get isRunning(): boolean {
		return this.#child !== undefined;
	}

	/** Describes the state and CPU time of the process according to the kernel, to diagnose a host that does not respond. */
	describeState(): string {
		const pid = this.#child?.pid;
		try {
			const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(' ');
			return `process ${pid} in state ${fields[2]}, ${fields[13]} user ticks, ${fields[14]} system ticks`;
		} catch {
			return `process ${pid ?? 'none'}, state unknown`;
		}
	}

	/** Starts the process unless it is running. Its output is appended to `ID.log` in the directory. */
	start(): void {
		if (this.#child) {
			return;
		}

		const {id} = this.options;
		const settingsPath = path.join(this.directory, `${id}.json`);
		writeFileSync(settingsPath, JSON.stringify(createHostSettings(this.options)));
		const log = createWriteStream(path.join(this.directory, `${id}.log`), {flags: 'a'});
		const child = spawn(process.execPath, ['--max-old-space-size=160', '--max-semi-space-size=1', this.program], {
			env: {...process.env, ...this.env, APRICOTWOOD_SETTINGS: settingsPath}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		child.stdout.pipe(log, {end: false});
		child.stderr.pipe(log, {end: false});
		this.#child = child;
		killAtExit(child);
		this.#isExitExpected = false;
		child.on('exit', (code, signal) => {
			log.end();
			if (this.#child === child) {
				this.#child = undefined;
			}

			this.onExit({
				host: id, code, signal, atMs: Date.now(), wasWanted: this.#isExitExpected,
			});
		});
	}

	/** Sends a signal to the process; does nothing if it is not running. */
	sendSignal(name: 'SIGTERM' | 'SIGINT' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT' | 'SIGHUP'): void {
		if (name === 'SIGTERM' || name === 'SIGINT' || name === 'SIGKILL') {
			this.#isExitExpected = true;
		}

		this.#child?.kill(name);
	}

	/** @returns whether the process exited within the timeout. */
	async waitForExit(timeoutMs: number): Promise<boolean> {
		const child = this.#child;
		if (!child) {
			return true;
		}

		return new Promise(resolve => {
			const timer = setTimeout(() => {
				resolve(false);
			}, timeoutMs);
			child.once('exit', () => {
				clearTimeout(timer);
				resolve(true);
			});
		});
	}

	async isReady(): Promise<boolean> {
		return fetchReadiness(this.options.ip);
	}
}
