import {readFileSync} from 'node:fs';
import type {LogLine} from '@apricotwood/telemetry';
import {Command, Flags} from '@oclif/core';
import VError from 'verror';
import {ApiClient, ApiErrorName} from './client.js';
import {listLogFiles, parseLogLines} from './trace.js';

/** How a command ends. */
export enum ExitCode {
	Ok = 0,
	/** The host refused, or did not answer. */
	Failed = 1,
	BadInput = 2,
	/** The patch was made against an older version. */
	Stale = 3,
}

/** What every command has: where the host is, who asks, and JSON output. */
export abstract class BaseCommand extends Command {
	static override enableJsonFlag = true;

	static override baseFlags = {
		host: Flags.string({description: 'origin of any entry host', env: 'APRICOTWOOD_HOST', default: 'http://127.0.0.1:8401'}),
		token: Flags.string({description: 'operator\'s token', env: 'APRICOTWOOD_TOKEN'}),
	};

	protected createClient({host, token}: {host: string; token?: string | undefined}): ApiClient {
		return new ApiClient(host, token);
	}

	/** Prints rows as an aligned table. */
	protected printTable(header: readonly string[], rows: ReadonlyArray<ReadonlyArray<string | number | undefined>>): void {
		const cells = [header, ...rows].map(row => row.map(cell => String(cell ?? '-')));
		const widths = header.map((_heading, column) => Math.max(...cells.map(line => line[column]?.length ?? 0)));
		for (const line of cells) {
			this.log(line.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd());
		}
	}

	/** Lines of a log file, or of all files of a folder. */
	protected readLogLines(location: string): LogLine[] {
		const files = listLogFiles(location) ?? this.error(`${location}: no such file or folder`, {exit: ExitCode.BadInput});
		return files.flatMap(file => parseLogLines(readFileSync(file, 'utf8')));
	}

	/** Reads a JSON file, or standard input for `-`. */
	protected readJsonFile(path: string): unknown {
		try {
			return JSON.parse(readFileSync(path === '-' ? 0 : path, 'utf8'));
		} catch (error) {
			this.error(`${path}: ${(error as Error).message}; give a readable JSON file`, {exit: ExitCode.BadInput});
		}
	}

	protected override async catch(error: Error & {exitCode?: number}): Promise<unknown> {
		switch (error.name) {
			case ApiErrorName.Stale as string: {
				this.#printNewerVersions(error);
				return super.catch(Object.assign(error, {oclif: {exit: ExitCode.Stale}}));
			}

			case ApiErrorName.Refused as string:
			case ApiErrorName.Unreachable as string: {
				return super.catch(Object.assign(error, {oclif: {exit: ExitCode.Failed}}));
			}

			case 'FindingsError': {
				return super.catch(Object.assign(error, {oclif: {exit: ExitCode.BadInput}}));
			}

			default: {
				return super.catch(error);
			}
		}
	}

	/** Lists what was accepted since the version that a stale patch was made against. */
	#printNewerVersions(error: Error): void {
		const {answer} = VError.info(error) as {answer?: {since?: Array<{version: number; operator: string; patchId: string; changes: unknown[]}>}};
		for (const {version, operator, patchId, changes} of answer?.since ?? []) {
			this.logToStderr(`version ${version}, patch ${patchId} by ${operator}: ${JSON.stringify(changes)}`);
		}
	}
}
