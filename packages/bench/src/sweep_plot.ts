import { LineChart } from "echarts/charts";
import {
  GridComponent,
  LegendComponent,
  TitleComponent,
} from "echarts/components";
import { init, use } from "echarts/core";
import { SVGRenderer } from "echarts/renderers";
import type { SweepPoint } from "./line_fit";

use([LineChart, GridComponent, LegendComponent, TitleComponent, SVGRenderer]);

/** One named series of a plot. */
export interface PlotLine {
  readonly name: string;
  readonly points: readonly SweepPoint[];
}

/** Title, axis names and series of a line plot. */
export interface SweepPlot {
  readonly title: string;
  readonly xName: string;
  readonly yName: string;
  readonly lines: readonly PlotLine[];
}

const PLOT_SIZE_PX = { width: 640, height: 360 };

/** Renders a line plot as an SVG document. */
export function renderSweepSvg(plot: SweepPlot): string {
  const chart = init(null, null, {
    renderer: "svg",
    ssr: true,
    ...PLOT_SIZE_PX,
  });
  chart.setOption({
    animation: false,
    title: { text: plot.title, left: "center", textStyle: { fontSize: 14 } },
    legend: { bottom: 0 },
    grid: { left: 70, right: 30, top: 50, bottom: 70 },
    xAxis: {
      type: "value",
      name: plot.xName,
      nameLocation: "middle",
      nameGap: 28,
    },
    yAxis: { type: "value", name: plot.yName },
    series: plot.lines.map(({ name, points }) => ({
      type: "line",
      name,
      data: points.map(({ x, y }) => [x, y]),
    })),
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}
