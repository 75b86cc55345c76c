import type {ExperimentResult, TimeSeriesPoint} from './run.js';

export type PolicyResult = {
	readonly name: string;
	readonly result: ExperimentResult;
};

type Chart = {
	readonly title: string;
	readonly read: (second: TimeSeriesPoint) => number;
};

const CHARTS: readonly Chart[] = [
	{title: 'requests at workers', read: ({load}) => load},
	{title: 'wait at hosts, ms', read: ({waitedMs, tries}) => waitedMs / Math.max(1, tries)},
	{title: 'rejected a second', read: ({rejected}) => rejected},
];
const SERIES_COLOURS = ['#1f77b4', '#d62728', '#2ca02c', '#9467bd', '#ff7f0e', '#8c564b'] as const;
const CHART_WIDTH_PX = 420;
const CHART_HEIGHT_PX = 120;

/** An HTML page with a table of all policies, and load, waits and rejections by service and region. */
export function renderReport(results: readonly PolicyResult[]): string {
	const keys = [...new Set(results.flatMap(({result}) => [...result.timeSeries.keys()]))].toSorted();
	const legend = results.map(({name}, index) => `<span style="color:${pickColour(index)}">${escapeHtml(name)}</span>`).join(' · ');
	const plots = keys.map(key => `<h2>${escapeHtml(key)}</h2><div>${CHARTS.map(figure => renderChart(figure, key, results)).join('')}</div>`).join('\n');
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

function renderTable(results: readonly PolicyResult[]): string {
	const rows = results.flatMap(({name, result}) => Array.from(result.routes, ([route, tally]) => {
		const part = (count: number) => (100 * count / Math.max(1, tally.calls)).toFixed(1);
		return `<tr><td>${escapeHtml(name)}</td><td>${escapeHtml(route)}</td><td>${tally.calls}</td><td>${part(tally.inTime)}</td><td>${part(tally.late)}</td><td>${part(tally.lost)}</td><td>${part(tally.warm)}</td><td>${result.value.toFixed(3)}</td></tr>`;
	}));
	return `<table><tr><th>policy</th><th>route</th><th>asked</th><th>in time %</th><th>late %</th><th>lost %</th><th>warm %</th><th>value of all</th></tr>${rows.join('')}</table>`;
}

function renderChart({title, read}: Chart, key: string, results: readonly PolicyResult[]): string {
	const series = results.map(({result}) => (result.timeSeries.get(key) ?? []).map(second => read(second)));
	const top = Math.max(1, ...series.flat());
	const lines = series.map((values, index) => {
		const points = values.map((value, second) => `${(CHART_WIDTH_PX * second / Math.max(1, values.length - 1)).toFixed(1)},${(CHART_HEIGHT_PX * (1 - (value / top))).toFixed(1)}`);
		return `<polyline fill="none" stroke="${pickColour(index)}" points="${points.join(' ')}"/>`;
	});
	return `<figure><svg width="${CHART_WIDTH_PX}" height="${CHART_HEIGHT_PX}" viewBox="0 0 ${CHART_WIDTH_PX} ${CHART_HEIGHT_PX}">${lines.join('')}</svg><figcaption>${title}, up to ${top.toFixed(0)}</figcaption></figure>`;
}

function pickColour(index: number): string {
	return SERIES_COLOURS[index % SERIES_COLOURS.length]!;
}

function escapeHtml(text: string): string {
	return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');
}
