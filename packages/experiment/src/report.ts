import type {ExperimentResult, Second} from './run.js';

export type NamedResult = {
	readonly name: string;
	readonly result: ExperimentResult;
};

type Figure = {
	readonly title: string;
	readonly read: (second: Second) => number;
};

const FIGURES: readonly Figure[] = [
	{title: 'requests at workers', read: ({load}) => load},
	{title: 'wait at hosts, ms', read: ({waitedMs, tries}) => waitedMs / Math.max(1, tries)},
	{title: 'rejected a second', read: ({rejected}) => rejected},
];
const COLOURS = ['#1f77b4', '#d62728', '#2ca02c', '#9467bd', '#ff7f0e', '#8c564b'] as const;
const WIDTH = 420;
const HEIGHT = 120;

/** An HTML page with a table of all policies, and load, waits and rejections by service and region. */
export function renderReport(results: readonly NamedResult[]): string {
	const keys = [...new Set(results.flatMap(({result}) => [...result.seconds.keys()]))].toSorted();
	const legend = results.map(({name}, index) => `<span style="color:${colourOf(index)}">${escapeHtml(name)}</span>`).join(' · ');
	const plots = keys.map(key => `<h2>${escapeHtml(key)}</h2><div>${FIGURES.map(figure => renderPlot(figure, key, results)).join('')}</div>`).join('\n');
	return `<!doctype html>
<html lang="en"><meta charset="utf-8"><title>Placing policies compared</title>
<style>body{font:14px sans-serif;margin:2em}td,th{padding:.2em .8em;text-align:right}td:first-child,th:first-child{text-align:left}figure{display:inline-block;margin:.5em}svg{background:#f7f7f7}</style>
<h1>Placing policies compared</h1>
${renderTable(results)}
<p>${legend}</p>
${plots}
</html>
`;
}

function renderTable(results: readonly NamedResult[]): string {
	const rows = results.flatMap(({name, result}) => Array.from(result.routes, ([route, tally]) => {
		const part = (count: number) => (100 * count / Math.max(1, tally.asked)).toFixed(1);
		return `<tr><td>${escapeHtml(name)}</td><td>${escapeHtml(route)}</td><td>${tally.asked}</td><td>${part(tally.inTime)}</td><td>${part(tally.late)}</td><td>${part(tally.lost)}</td><td>${part(tally.warm)}</td><td>${result.value.toFixed(3)}</td></tr>`;
	}));
	return `<table><tr><th>policy</th><th>route</th><th>asked</th><th>in time %</th><th>late %</th><th>lost %</th><th>warm %</th><th>value of all</th></tr>${rows.join('')}</table>`;
}

function renderPlot({title, read}: Figure, key: string, results: readonly NamedResult[]): string {
	const series = results.map(({result}) => (result.seconds.get(key) ?? []).map(second => read(second)));
	const top = Math.max(1, ...series.flat());
	const lines = series.map((values, index) => {
		const points = values.map((value, second) => `${(WIDTH * second / Math.max(1, values.length - 1)).toFixed(1)},${(HEIGHT * (1 - (value / top))).toFixed(1)}`);
		return `<polyline fill="none" stroke="${colourOf(index)}" points="${points.join(' ')}"/>`;
	});
	return `<figure><svg width="${WIDTH}" height="${HEIGHT}" viewBox="0 0 ${WIDTH} ${HEIGHT}">${lines.join('')}</svg><figcaption>${title}, up to ${top.toFixed(0)}</figcaption></figure>`;
}

function colourOf(index: number): string {
	return COLOURS[index % COLOURS.length]!;
}

function escapeHtml(text: string): string {
	return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');
}
