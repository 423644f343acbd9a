// The chart that measure.ts writes with `--report`.

import type * as measure from './measure.js';

const BAR_HEIGHT_PX = 16;
const BAR_WIDTH_PX = 300;
const LABEL_WIDTH_PX = 330;
const TIER_COLOURS: readonly string[] = ['#1b6ca8', '#5aa9a3', '#c9a227'];

/** An HTML page with a bar for each run and tier, as long as the share of requests with a whole answer in time. */
export function html(results: readonly measure.RunFigures[]): string {
  const bars = results.flatMap(({policy, scenario, seed, tiers}) =>
    tiers.map(({tier, goodputShare}) => ({
      label: `${scenario} ${policy} seed ${seed} tier ${tier}`,
      share: goodputShare,
      colour: TIER_COLOURS[tier - 1],
    })),
  );
  const rows = bars.map(({label, share, colour}, index) => {
    const y = index * (BAR_HEIGHT_PX + 4);
    const width = (BAR_WIDTH_PX * share).toFixed(1);
    const percent = (100 * share).toFixed(1);
    return [
      `<text x="0" y="${y + 12}">${label}</text>`,
      `<rect x="${LABEL_WIDTH_PX}" y="${y}" width="${width}" height="${BAR_HEIGHT_PX}" fill="${colour}"/>`,
      `<text x="${LABEL_WIDTH_PX + BAR_WIDTH_PX + 8}" y="${y + 12}">${percent}%</text>`,
    ].join('');
  });
  const height = bars.length * (BAR_HEIGHT_PX + 4);
  const svg = `<svg xmlns="http://www.w3.org/2000/svg" width="${LABEL_WIDTH_PX + BAR_WIDTH_PX + 80}" height="${height}" font-family="sans-serif" font-size="12">${rows.join('')}</svg>`;
  return `<!doctype html><meta charset="utf-8"><title>Goodput by tier</title><h1>Requests answered in time, by tier</h1>${svg}`;
}
