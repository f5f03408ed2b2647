import random,sys
seed=int(sys.argv[1]); r=random.Random(seed)
L=r.choice([34,41,50])
def at(a=1,b=None): return round(r.uniform(a,(b or L-8)),2)
F=[];P=[]
def f(**k): F.append(k)
def p(**k): P.append(k)
fk=[
 lambda: f(kind="srv_cut",share=.2,for_s=round(r.uniform(3,6),1),how=r.choice(["","fronts","some","some lossy","one_way","reset","reborn","fronts some","some one_way","reborn reset"]),x=.3,**({"service":r.choice(SV)})),
 lambda: f(kind="srv_slow",share=.15,x=4,for_s=6,service=r.choice(SV)),
 lambda: f(kind="replace_with_reuse",share=.15,how=r.choice(["","drain","dark"])),
 lambda: f(kind="reset_conns",share=r.choice([.1]),x=.5),
 lambda: f(kind="node_slow",share=.1,x=5,for_s=5),
 lambda: f(kind="srv_crash",share=.17,for_s=4.5,how=r.choice(["","dark","gone"]),service=r.choice(SV)),
 lambda: f(kind="srv_grey",share=.14,x=.45,for_s=6.5,how=r.choice(["errors","shed","busy","hang","reset","mute","slow"]),service=r.choice(SV)),
 lambda: f(kind="answer_lost",share=.5,x=.05,for_s=5,how=r.choice(["","reset"])),
 lambda: f(kind="garble",share=.6,x=.03,for_s=5,how=r.choice(["","extra","unframed","early","extra late"])),
 lambda: f(kind="node_freeze",on="core",count=1,for_s=4,how=r.choice(["","leader"])),
 lambda: f(kind="node_kill",share=.16,for_s=3.5,how=r.choice(["","power"])),
 lambda: f(kind="clock_step",share=.39,x=3270.0,for_s=6,how=r.choice(["ahead","back"])),
 lambda: f(kind="zone_cut",for_s=5.5,how=r.choice(["drop","reset","drop meet"])),
 lambda: f(kind="core_cut",count=1,for_s=5.5,how=r.choice(["","all","near","one_way","split","leader race"])),
 lambda: f(kind="node_cut",share=.3,for_s=8,how=r.choice(["","all","servers","servers reborn","reset revoke","meet"])),
 lambda: f(kind="lossy",x=.025,for_s=5.5),
 lambda: f(kind="platform_down",for_s=r.choice([4.5,8]),how=r.choice(["busy","silent","reset","silent lapse","busy lapse","nodes busy","nodes many","nodes reset revoke meet","nodes revoke"]),share=.35),
 lambda: f(kind="platform_slow",x=60.0,for_s=4.5),
 lambda: f(kind="platform_lost",x=.35,for_s=4.5,how=r.choice(["","late"])),
 lambda: f(kind="platform_compact",x=6.0,for_s=12,how=r.choice(["","drain"])),
 lambda: f(kind="give_up",share=.2,for_s=5.5,how=r.choice(["","once"])),
 lambda: f(kind="retry_abuse",x=3.0,share=.3,for_s=5.5),
 lambda: f(kind="burst",x=1.7,for_s=3),
 lambda: f(kind="herd_kill",share=.55,for_s=2,how="power",on="core"),
 lambda: f(kind="after_ack_kill",for_s=3.0,how=r.choice(["","timed"])),
]
pk=[
 lambda: p(kind="release",share=.45,x=1.0,gap_s=1.0,service=r.choice(SV)),
 lambda: p(kind="scale_in",share=.15,service=r.choice(SV),how=r.choice(["","spot","reclaim"])),
 lambda: p(kind="scale_out",share=.25,gap_s=2.0),
 lambda: p(kind="roll_term",share=.45,x=1.0,gap_s=1.0,how=r.choice(["","busy"])),
 lambda: p(kind="hup",share=.6,gap_s=2.0),
 lambda: p(kind="config_storm",for_s=4.0,gap_s=.33),
 lambda: p(kind="config_change",how=r.choice(["route","weights","timeout","tenant","idle"])),
 lambda: p(kind="big_config",count=330),
 lambda: p(kind="revoke",count=2,gap_s=.5,how=r.choice(["","last"])),
 lambda: p(kind="add_nodes",share=.8),
]
SV=["agatemoor-pool","rounds-app"]
for _ in range(r.randint(2,4)): r.choice(fk)(); F[-1]["at"]=at()
for _ in range(r.randint(1,3)): r.choice(pk)(); P[-1]["at"]=at()
for d in F+P:
    for k in [k for k in d if d[k]==""]: del d[k]
if r.random()<.5:
    a=at(2,L-12); 
    for d in r.sample(F+P,2): d["at"]=round(a+r.uniform(0,2),2)
def tv(v): return '"%s"'%v if isinstance(v,str) else repr(v)
def tl(n,l): return n+" = [\n"+"".join("  { "+", ".join(f"{k} = {tv(v)}" for k,v in d.items())+" },\n" for d in l)+"]\n"
out=f'[[day]]\nname = "fz-{seed}"\nlength_s = {float(L)}\n'
if r.random()<.3: out+='closing = { kind = "%s", down_s = 1.3 }\n'%r.choice(["power_off_all","kill_all"])
out+=tl("plan",P)+tl("faults",F)
print(out)
