set terminal svg size 900,480
set output 'counter-split.svg'
set title 'counter-split: what heavy customers get of their quota (median over seeds; simulated)'
set xlabel 'seconds'
set ylabel 'units admitted a second over the quota'
set yrange [0:*]
set key outside
plot 1 dashtype 2 title 'quota', 'counter-split-3-pool.dat' with lines title '3, pool', 'counter-split-3-slices.dat' with lines title '3, slices alone', 'counter-split-30-pool.dat' with lines title '30, pool', 'counter-split-30-slices.dat' with lines title '30, slices alone', 'counter-split-300-pool.dat' with lines title '300, pool', 'counter-split-300-slices.dat' with lines title '300, slices alone'
