set terminal svg size 900,480
set output 'counter-lost.svg'
set title 'counter-lost: what heavy customers get of their quota (median over seeds; simulated)'
set xlabel 'seconds'
set ylabel 'units admitted a second over the quota'
set yrange [0:*]
set key outside
plot 1 dashtype 2 title 'quota', 'counter-lost-3-pool.dat' with lines title '3, pool', 'counter-lost-3-slices.dat' with lines title '3, slices alone', 'counter-lost-30-pool.dat' with lines title '30, pool', 'counter-lost-30-slices.dat' with lines title '30, slices alone', 'counter-lost-300-pool.dat' with lines title '300, pool', 'counter-lost-300-slices.dat' with lines title '300, slices alone'
