set terminal svg size 900,480
set output 'restart-in-burst.svg'
set title 'restart-in-burst: what heavy customers get of their quota (median over seeds; simulated)'
set xlabel 'seconds'
set ylabel 'units admitted a second over the quota'
set yrange [0:*]
set key outside
plot 1 dashtype 2 title 'quota', 'restart-in-burst-3-pool.dat' with lines title '3, pool', 'restart-in-burst-3-slices.dat' with lines title '3, slices alone', 'restart-in-burst-30-pool.dat' with lines title '30, pool', 'restart-in-burst-30-slices.dat' with lines title '30, slices alone', 'restart-in-burst-300-pool.dat' with lines title '300, pool', 'restart-in-burst-300-slices.dat' with lines title '300, slices alone'
