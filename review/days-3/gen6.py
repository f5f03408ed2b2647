import random,sys
sys.argv_seed=int(sys.argv[1])
src=open(__file__.replace('gen6', 'gen5')).read()
# reuse core() and planned() from gen5
head=src.split("n=r.randint(2,4)")[0]
exec(head)
L=r.choice([41,50,60])
extra=[
 lambda: dict(kind="garble",share=.6,x=.05,for_s=5.5,how=c(["","extra","unframed","early","extra late","early extra"])),
 lambda: dict(kind="answer_lost",share=.5,x=.05,for_s=5.5,how=c(["","reset"])),
 lambda: dict(kind="srv_grey",share=.14,x=.45,for_s=6.5,how=c(["errors","shed","busy","hang","reset","mute","slow"]),service=c(SV)),
 lambda: dict(kind="srv_crash",share=.17,for_s=4.5,how=c(["","dark","gone"]),service=c(SV)),
 lambda: dict(kind="srv_slow",share=.15,x=4,for_s=6,service=c(SV)),
 lambda: dict(kind="node_slow",share=.1,x=5,for_s=5),
 lambda: dict(kind="reset_conns",share=.1,x=.5),
 lambda: dict(kind="give_up",share=.2,for_s=5.5,how=c(["","once"])),
 lambda: dict(kind="retry_abuse",x=3.0,share=.3,for_s=5.5),
 lambda: dict(kind="burst",x=1.7,for_s=3.0),
 lambda: dict(kind="lossy",x=.025,for_s=5.5),
 lambda: dict(kind="platform_slow",x=60.0,for_s=4.5),
]
for _ in range(r.randint(8,18)):
    d=c(extra)() if r.random()<.6 else core(); d["at"]=round(r.uniform(1,L-10),2); F.append(d)
for _ in range(r.randint(6,14)):
    d=planned(); d["at"]=round(r.uniform(1,L-8),2); P.append(d)
def tv(v): return '"%s"'%v if isinstance(v,str) else repr(v)
def tl(n,l): return n+" = [\n"+"".join("  { "+", ".join(f"{k} = {tv(v)}" for k,v in d.items() if v!="")+" },\n" for d in l)+"]\n"
out=f'[[day]]\nname = "fz-{sys.argv_seed}"\nlength_s = {float(L)}\n'
if r.random()<.3: out+='closing = { kind = "%s", down_s = 1.3 }\n'%c(["power_off_all","kill_all"])
print(out+tl("plan",P)+tl("faults",F))
