import {readFileSync} from 'node:fs';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {SystemClock, SystemRandom} from '@apricotwood/clock';
import {FindingsError} from '@apricotwood/findings';
import {HttpPlatform, createMemoryPlatform, type Platform} from '@apricotwood/store';
import {
	BatchSink, type LogFormat, LogLevel, Metrics, createStatsdClient, createLog,
} from '@apricotwood/telemetry';
import {Host} from './host/host.js';
import {loadSettings} from './settings/load.js';
import type {Settings} from './settings/schema.js';

/** How the process ends. */
enum ExitCode {
	Ok = 0,
	Failed = 1,
	BadInput = 2,
}

const USAGE = `apricotwood: the daemon of an entry host

  apricotwood --config FILE.json           runs until SIGTERM or SIGINT, then stops gracefully
  apricotwood --config FILE.json --check   checks the settings and exits
  apricotwood --help

Exit status: 0 after a graceful stop, 1 after a failure, 2 for settings that do not hold.`;

const LOG_LEVELS: Readonly<Record<Settings['log']['level'], LogLevel>> = {
	debug: LogLevel.Debug, info: LogLevel.Info, warn: LogLevel.Warn, error: LogLevel.Error,
};

/** Runs the daemon's command line. @returns the exit status. */
export async function runDaemon(args: readonly string[]): Promise<number> {
	let options: {config?: string; check?: boolean; help?: boolean};
	try {
		options = parseArgs({args: [...args], options: {config: {type: 'string'}, check: {type: 'boolean'}, help: {type: 'boolean'}}}).values;
	} catch (error) {
		console.error(`${(error as Error).message}\n\n${USAGE}`);
		return ExitCode.BadInput;
	}

	if (options.help) {
		console.log(USAGE);
		return ExitCode.Ok;
	}

	if (options.config === undefined) {
		console.error(`--config is missing\n\n${USAGE}`);
		return ExitCode.BadInput;
	}

	return runWithSettings(options.config, options.check ?? false);
}

async function runWithSettings(path: string, isCheck: boolean): Promise<number> {
	let settings: Settings;
	let clusterKey: string;
	try {
		settings = loadSettings(path);
		clusterKey = readClusterKey(settings);
	} catch (error) {
		if (!(error instanceof FindingsError)) {
			throw error;
		}

		console.error(error.message);
		return ExitCode.BadInput;
	}

	if (isCheck) {
		console.log(`${path}: the settings hold`);
		return ExitCode.Ok;
	}

	return serve(settings, clusterKey);
}

function readClusterKey({clusterKey, clusterKeyFile}: Settings): string {
	if (clusterKeyFile === undefined) {
		return clusterKey ?? 'embedded-platform-only';
	}

	try {
		return readFileSync(clusterKeyFile, 'utf8').trim();
	} catch (error) {
		throw new FindingsError('settings', [{place: 'clusterKeyFile', message: `${(error as Error).message}; give a readable file`}]);
	}
}

async function serve(settings: Settings, clusterKey: string): Promise<number> {
	const stop = new AbortController();
	// A second signal changes nothing: what is in flight still finishes.
	for (const name of ['SIGTERM', 'SIGINT'] as const) {
		process.on(name, () => {
			stop.abort();
		});
	}

	const clock = new SystemClock();
	const sink = new BatchSink(process.stdout.fd, clock);
	const log = createLog({
		format: settings.log.format as LogFormat, level: LOG_LEVELS[settings.log.level], sink, clock, fields: {self: settings.id},
	});
	const {address, port} = settings.metrics;
	const metrics = new Metrics(address === undefined ? undefined : createStatsdClient({host: address, port, tags: {host: settings.id, zone: settings.zone, region: settings.region}}));
	const {origin} = settings.platform;
	const platform: Platform = origin === undefined ? createMemoryPlatform() : new HttpPlatform(origin);
	if (settings.operators.length === 0) {
		log.warn({event: 'no-operators', reason: 'anyone on this machine may change the agreement; set operators'});
	}

	try {
		const host = await Host.start({
			settings, clusterKey, platform, clock, random: new SystemRandom(), log, metrics, sink,
		});
		await host.run(stop.signal);
		return ExitCode.Ok;
	} catch (error) {
		log.error({event: 'failed', message: (error as Error).message});
		return ExitCode.Failed;
	} finally {
		await metrics.close();
		if (platform instanceof HttpPlatform) {
			await platform.close();
		}

		await sink.drain();
	}
}
